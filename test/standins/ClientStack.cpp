#include "ClientStack.h"

#include "support/InternalError.h"

#include <algorithm>
#include <array>
#include <netinet/in.h>

extern "C" {
#include <lwip/init.h>
#include <lwip/ip.h>
#include <lwip/netif.h>
#include <lwip/pbuf.h>
#include <lwip/timeouts.h>
}

namespace chicoryferry::standins {

namespace {

// The same inner MTU as the agents use, so that an envelope stays below 1,500 bytes.
constexpr std::uint16_t interfaceMtuBytes = 1360;
constexpr std::size_t destinationOffset = 16;

err_t sendPacket(netif* interface, pbuf* packet, const ip4_addr_t*)
{
    std::array<char, 2048> buffer {};
    const std::uint16_t length = pbuf_copy_partial(packet, buffer.data(), buffer.size(), 0);
    static_cast<ClientStack*>(interface->state)->packetSent(std::string_view(buffer.data(), length));
    return ERR_OK;
}

err_t prepareInterface(netif* interface)
{
    interface->name[0] = 'c';
    interface->name[1] = 'l';
    interface->mtu = interfaceMtuBytes;
    interface->output = &sendPacket;
    return ERR_OK;
}

}

ClientStack::ClientStack(PacketHandler onPacketToUse)
    : onPacket(std::move(onPacketToUse))
{
    lwip_init();
}

ClientStack::~ClientStack() = default;

void ClientStack::addCaller(std::uint32_t address)
{
    if (this->interfaces.contains(address)) {
        return;
    }
    auto interface = std::make_unique<netif>();
    ip4_addr_t own {};
    ip4_addr_t mask {};
    ip4_addr_t gateway {};
    own.addr = htonl(address);
    mask.addr = htonl(0xFFFFFFFF);
    gateway.addr = 0;
    netif* added = netif_add(interface.get(), &own, &mask, &gateway, this, &prepareInterface, &ip_input);
    internalAssert(added != nullptr, "add caller", "lwIP could not add another interface");
    netif_set_up(added);
    netif_set_link_up(added);
    // All services are routed through the default interface; the source address is that of the connection.
    netif_set_default(added);
    this->interfaces.emplace(address, std::move(interface));
}

void ClientStack::receive(std::string_view packet)
{
    if (packet.size() < destinationOffset + sizeof(std::uint32_t)) {
        return;
    }
    std::uint32_t destination = 0;
    std::copy_n(packet.data() + destinationOffset, sizeof destination, reinterpret_cast<char*>(&destination));
    const auto found = this->interfaces.find(ntohl(destination));
    if (found == this->interfaces.end()) {
        return;
    }
    pbuf* copy = pbuf_alloc(PBUF_RAW, static_cast<std::uint16_t>(packet.size()), PBUF_RAM);
    if (copy == nullptr) {
        return;
    }
    pbuf_take(copy, packet.data(), static_cast<std::uint16_t>(packet.size()));
    if (ip_input(copy, found->second.get()) != ERR_OK) {
        pbuf_free(copy);
    }
}

void ClientStack::runTimers() { sys_check_timeouts(); }

std::chrono::milliseconds ClientStack::untilNextTimer(std::chrono::milliseconds limit) const
{
    const std::uint32_t sleep = sys_timeouts_sleeptime();
    return sleep == SYS_TIMEOUTS_SLEEPTIME_INFINITE ? limit : std::min(limit, std::chrono::milliseconds(sleep));
}

}
