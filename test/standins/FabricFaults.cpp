#include "FabricFaults.h"

namespace chicoryferry::standins {

namespace {

constexpr std::size_t minimumIpHeaderBytes = 20;
constexpr std::uint8_t tcpProtocol = 6;
constexpr std::size_t maximumSeenFlows = 200'000;

std::uint32_t readBigEndian(std::string_view packet, std::size_t offset, std::size_t bytes)
{
    std::uint32_t value = 0;
    for (std::size_t index = 0; index < bytes; ++index) {
        value = value << 8U | static_cast<std::uint8_t>(packet[offset + index]);
    }
    return value;
}

FabricFaults::Duration fromMilliseconds(double milliseconds)
{
    return FabricFaults::Duration(static_cast<std::int64_t>(milliseconds * 1000));
}

}

std::optional<FlowKey> flowOf(std::string_view packet, PacketDirection direction)
{
    if (packet.size() < minimumIpHeaderBytes || readBigEndian(packet, 9, 1) != tcpProtocol) {
        return std::nullopt;
    }
    const std::size_t headerBytes = static_cast<std::size_t>(readBigEndian(packet, 0, 1) & 0x0FU) * 4;
    if (packet.size() < headerBytes + 4) {
        return std::nullopt;
    }
    const Endpoint source { readBigEndian(packet, 12, 4),
        static_cast<std::uint16_t>(readBigEndian(packet, headerBytes, 2)) };
    const Endpoint destination { readBigEndian(packet, 16, 4),
        static_cast<std::uint16_t>(readBigEndian(packet, headerBytes + 2, 2)) };
    return direction == PacketDirection::ToBalancer ? FlowKey { source, destination } : FlowKey { destination, source };
}

void FabricFaults::configure(const nlohmann::json& faults)
{
    if (faults.contains("seed")) {
        this->random.seed(faults.at("seed").get<std::uint64_t>());
    }
    this->loss = faults.value("loss", 0.0);
    this->duplication = faults.value("duplication", 0.0);
    this->reordering = faults.value("reordering", 0.0);
    const auto delay = faults.value("delayMs", std::vector<double> { 0.0, 0.0 });
    this->minimumDelay = fromMilliseconds(delay.at(0));
    this->maximumDelay = fromMilliseconds(delay.at(1));
    this->reorderDelay = fromMilliseconds(faults.value("reorderDelayMs", 5.0));
    if (faults.value("heal", false)) {
        this->silencedFlows.clear();
    }
    if (faults.contains("silence")) {
        this->silenceFlows(faults.at("silence"));
    }
}

void FabricFaults::silenceFlows(const nlohmann::json& choice)
{
    std::set<std::uint32_t> callers;
    for (const std::string& text : choice.value("callers", std::vector<std::string> {})) {
        callers.insert(parseAddress(text));
    }
    const double fraction = choice.value("fraction", 1.0);
    for (const FlowKey& flow : this->seenFlows) {
        const bool candidate = callers.empty() || callers.contains(flow.caller.address);
        if (candidate && this->drawWithProbability(fraction)) {
            this->silencedFlows.insert(flow);
        }
    }
}

std::vector<FabricFaults::Duration> FabricFaults::decide(std::string_view packet, PacketDirection direction)
{
    if (const std::optional<FlowKey> flow = flowOf(packet, direction)) {
        if (this->silencedFlows.contains(*flow)) {
            ++this->silenced;
            return {};
        }
        if (this->seenFlows.size() >= maximumSeenFlows) {
            this->seenFlows.clear();
        }
        this->seenFlows.insert(*flow);
    }
    if (this->drawWithProbability(this->loss)) {
        ++this->lost;
        return {};
    }
    std::vector<Duration> deliveries { this->randomDelay() };
    if (this->drawWithProbability(this->duplication)) {
        ++this->duplicated;
        deliveries.push_back(this->randomDelay());
    }
    return deliveries;
}

std::size_t FabricFaults::choose(std::size_t limit)
{
    return std::uniform_int_distribution<std::size_t>(0, limit - 1)(this->random);
}

nlohmann::json FabricFaults::counts() const
{
    return { { "lost", this->lost }, { "duplicated", this->duplicated }, { "reordered", this->reordered },
        { "silenced", this->silenced }, { "silencedFlows", this->silencedFlows.size() } };
}

bool FabricFaults::drawWithProbability(double probability)
{
    return probability > 0 && std::uniform_real_distribution<double>(0, 1)(this->random) < probability;
}

FabricFaults::Duration FabricFaults::randomDelay()
{
    Duration delay = this->minimumDelay;
    if (this->maximumDelay > this->minimumDelay) {
        const auto spread = (this->maximumDelay - this->minimumDelay).count();
        delay += Duration(std::uniform_int_distribution<std::int64_t>(0, spread)(this->random));
    }
    if (this->drawWithProbability(this->reordering)) {
        ++this->reordered;
        delay += this->reorderDelay;
    }
    return delay;
}

}
