#pragma once

#include "TcpPair.h"
#include "app/HttpEdge.h"
#include "support/Metrics.h"

#include <chrono>
#include <string>
#include <vector>

namespace chicoryferry {

// An HTTP edge between a caller's TCP stack and a broker stub that records the requests.
struct EdgeFixture {
    struct Submitted {
        HttpRequestHead head;
        std::string body;
        bool bodyComplete { false };
        bool cancelled { false };
        std::size_t consumed { 0 };
    };

    EdgeFixture()
    {
        this->pair.onServerEvent = [this](const TcpEvent& event) {
            if (const auto* accepted = std::get_if<TcpAccepted>(&event)) {
                this->edge.opened(this->now, accepted->connection, "job", accepted->remote);
            } else {
                this->edge.connectionEvent(this->now, event);
            }
        };
        this->pair.server.listen(this->pair.service);
        this->connection = this->pair.open();
    }

    // Sends bytes from the caller and exchanges packets. Returns early when the send buffer stays full.
    void send(std::string_view text)
    {
        while (!text.empty()) {
            const std::size_t written = this->pair.client.write(this->connection, text);
            text.remove_prefix(written);
            this->pair.run();
            if (written == 0) {
                return;
            }
        }
        this->pair.run();
    }

    // The bytes that the caller has received since the last call.
    std::string received()
    {
        std::string all;
        while (!this->pair.client.readable(this->connection).empty()) {
            all += TcpPair::take(this->pair.client, this->connection);
            this->pair.run();
        }
        return all;
    }

    // Answers request `number`, counted from 1.
    void answer(std::uint64_t number, const std::string& body, BodyFraming framing = BodyFraming::ContentLength)
    {
        this->edge.brokerEvent(this->now, AnswerStart { number, { 200, {}, framing, body.size() } });
        if (!body.empty()) {
            this->edge.brokerEvent(this->now, AnswerData { number, body });
        }
        this->edge.brokerEvent(this->now, AnswerFinish { number, true });
        this->pair.run();
    }

    bool callerSawEnd() const { return this->pair.count<TcpEnded>(this->pair.clientEvents) > 0; }
    bool callerSawClose() const { return this->pair.count<TcpPeerClosed>(this->pair.clientEvents) > 0; }

    HttpEdge::TimePoint now { std::chrono::seconds(1000) };
    Metrics metrics;
    TcpPair pair;
    std::vector<Submitted> requests;
    HttpEdge edge { this->pair.server, this->metrics,
        { [this](auto, const std::string&, const Endpoint&, HttpRequestHead head) {
             this->requests.push_back({ std::move(head), "", false, false, 0 });
             return this->requests.size();
         },
            [this](auto, std::uint64_t request, const std::string& data, bool last) {
                this->requests[request - 1].body += data;
                this->requests[request - 1].bodyComplete = last;
            },
            [this](auto, std::uint64_t request, std::size_t bytes) { this->requests[request - 1].consumed += bytes; },
            [this](auto, std::uint64_t request) { this->requests[request - 1].cancelled = true; } } };
    std::uint64_t connection { 0 };
};

}
