#include "BackendServer.h"

#include "Sockets.h"
#include "support/Duration.h"

#include <algorithm>
#include <sys/epoll.h>
#include <unistd.h>

namespace chicoryferry::standins {

namespace {

constexpr std::size_t maximumLoadSamples = 10'000;

std::string headerValue(const BackendRequest& request, const std::string& name)
{
    const auto found = request.headers.find(name);
    return found == request.headers.end() ? std::string() : found->second;
}

std::uint64_t numberOr(const std::string& text, std::uint64_t otherwise)
{
    return text.empty() ? otherwise : std::stoull(text);
}

std::int64_t microseconds(std::chrono::steady_clock::time_point time)
{
    return std::chrono::duration_cast<std::chrono::microseconds>(time.time_since_epoch()).count();
}

}

BackendServer::BackendServer(StandinLoop& loopToUse, const Endpoint& listen, std::string serviceName,
    std::string hostName, BackendSettings initialSettings)
    : loop(loopToUse)
    , listener(openTcpListener(listen))
    , service(std::move(serviceName))
    , host(std::move(hostName))
    , settings(initialSettings)
{
    this->loop.events().add(this->listener, EPOLLIN, [this](std::uint32_t) { this->acceptWaiting(); });
}

BackendServer::~BackendServer()
{
    this->loop.events().remove(this->listener);
    close(this->listener);
}

Endpoint BackendServer::address() const { return boundAddress(this->listener); }

void BackendServer::acceptWaiting()
{
    for (int accepted = acceptConnection(this->listener); accepted >= 0; accepted = acceptConnection(this->listener)) {
        auto connection = std::make_unique<BackendConnection>(
            this->loop, accepted,
            [this](BackendConnection& from, const BackendRequest& request) { this->requestArrived(from, request); },
            [this](BackendConnection& from, bool complete) { this->answered(from, complete); },
            [this](BackendConnection& from) { this->connectionClosed(from); });
        BackendConnection* identity = connection.get();
        this->connections.emplace(identity, std::move(connection));
    }
}

void BackendServer::requestArrived(BackendConnection& connection, const BackendRequest& request)
{
    if (this->answerControlRequest(connection, request)) {
        return;
    }
    BackendRun run;
    run.number = this->runs.size();
    run.service = this->service;
    run.requestId = headerValue(request, "x-request-id");
    run.method = request.method;
    run.target = request.target;
    run.idempotencyKey = headerValue(request, "idempotency-key");
    run.bodyHash = contentHash(request.body);
    run.bodyBytes = request.body.size();
    run.deadlineMs = numberOr(headerValue(request, "chicoryferry-deadline-ms"), 0);
    run.arrival = std::chrono::steady_clock::now();
    this->runs.push_back(run);
    this->connectionOfRun[run.number] = &connection;
    this->runOfConnection[&connection] = run.number;
    const bool shed = std::uniform_real_distribution<double>(0, 1)(this->random) < this->settings.shedding;
    if (this->settings.draining || shed || this->waiting.size() >= this->settings.queueLimit) {
        this->refuse(connection, run.number, "shed");
        return;
    }
    if (run.deadlineMs > 0) {
        this->loop.schedule(run.arrival + std::chrono::milliseconds(run.deadlineMs),
            [this, number = run.number] { this->deadlineReached(number); });
    }
    this->waiting.push_back(run.number);
    this->startNext();
}

bool BackendServer::answerControlRequest(BackendConnection& connection, const BackendRequest& request)
{
    const std::string action = request.method + " " + request.target;
    if (action == "GET /control/runs") {
        this->answerJson(connection, 200, this->runsAsJson());
    } else if (action == "GET /control/state") {
        this->answerJson(connection, 200, this->stateAsJson());
    } else if (action == "GET /load") {
        this->answerJson(connection, 200, { { "load", this->reportedLoad() } });
    } else if (action == "GET /health") {
        this->answerJson(connection, this->settings.draining ? 503 : 200, { { "draining", this->settings.draining } });
    } else if (action == "PUT /control/settings") {
        this->answerSettings(connection, request.body);
    } else {
        return false;
    }
    return true;
}

void BackendServer::answerSettings(BackendConnection& connection, const std::string& body)
{
    try {
        this->applySettings(nlohmann::json::parse(body));
        this->answerJson(connection, 200, nlohmann::json::object());
    } catch (const nlohmann::json::exception& error) {
        this->answerJson(connection, 400, { { "error", error.what() } });
    }
}

void BackendServer::answerJson(BackendConnection& connection, unsigned status, const nlohmann::json& content)
{
    BackendAnswer answer;
    answer.status = status;
    answer.headers["Content-Type"] = "application/json";
    answer.text = content.dump();
    connection.answer(std::move(answer));
}

void BackendServer::refuse(BackendConnection& connection, std::uint64_t run, const std::string& outcome)
{
    this->runs[run].outcome = outcome;
    BackendAnswer answer;
    answer.status = 503;
    answer.headers["Chicoryferry-Outcome"] = "not-run";
    answer.text = "shed\n";
    connection.answer(std::move(answer));
}

void BackendServer::startNext()
{
    while (this->running < this->settings.slots && !this->waiting.empty()) {
        const std::uint64_t next = this->waiting.front();
        this->waiting.pop_front();
        this->start(next);
    }
    this->recordLoad();
}

void BackendServer::start(std::uint64_t number)
{
    BackendRun& run = this->runs[number];
    run.started = true;
    run.outcome = "running";
    run.start = std::chrono::steady_clock::now();
    ++this->running;
    this->mostRunning = std::max(this->mostRunning, this->running);
    if (!this->settings.frozen) {
        this->loop.schedule(run.start + this->runTime(run.target), [this, number] { this->runTimeElapsed(number); });
    }
}

std::chrono::microseconds BackendServer::runTime(const std::string& target) const
{
    const std::string text = queryValue(target, "run");
    double time = text.empty()
        ? 0.0
        : static_cast<double>(std::chrono::microseconds(parseDuration(text)).count()) / this->settings.speed;
    if (std::chrono::steady_clock::now() < this->settings.warmAt) {
        time *= this->settings.coldFactor;
    }
    return std::chrono::microseconds(static_cast<std::int64_t>(time));
}

void BackendServer::finishRun(std::uint64_t number, const std::string& outcome)
{
    BackendRun& run = this->runs[number];
    run.outcome = outcome;
    run.end = std::chrono::steady_clock::now();
    --this->running;
    this->startNext();
}

void BackendServer::runTimeElapsed(std::uint64_t number)
{
    if (this->runs[number].outcome != "running") {
        return;
    }
    this->finishRun(number, "completed");
    this->connectionOfRun.at(number)->answer(this->answerFor(this->runs[number]));
}

void BackendServer::deadlineReached(std::uint64_t number)
{
    const std::string outcome = this->runs[number].outcome;
    if (outcome == "waiting") {
        std::erase(this->waiting, number);
        this->refuse(*this->connectionOfRun.at(number), number, "deadline");
    } else if (outcome == "running") {
        this->finishRun(number, "deadline");
        this->answerJson(*this->connectionOfRun.at(number), 504, { { "error", "deadline" } });
    }
}

BackendAnswer BackendServer::answerFor(const BackendRun& run) const
{
    BackendAnswer answer;
    answer.status = static_cast<unsigned>(numberOr(queryValue(run.target, "status"), 200));
    answer.headers["Content-Type"] = "application/octet-stream";
    answer.headers["X-Service"] = run.service;
    answer.headers["X-Host"] = this->host;
    answer.identity = AnswerIdentity { run.service, run.target, run.bodyHash };
    answer.contentBytes = run.method == "HEAD" ? 0 : answerBytes(run.target);
    answer.chunked = queryValue(run.target, "chunked") == "1";
    answer.cutAfter = numberOr(queryValue(run.target, "cut"), UINT64_MAX);
    answer.stallAfter = numberOr(queryValue(run.target, "stall"), UINT64_MAX);
    answer.bytesPerSecond = numberOr(queryValue(run.target, "pace"), 0);
    return answer;
}

void BackendServer::answered(BackendConnection& connection, bool complete)
{
    const auto found = this->runOfConnection.find(&connection);
    if (found == this->runOfConnection.end()) {
        return;
    }
    BackendRun& run = this->runs[found->second];
    if (run.outcome == "completed") {
        run.outcome = complete ? "answered" : "answer-cut";
    }
    this->connectionOfRun.erase(found->second);
    this->runOfConnection.erase(found);
}

void BackendServer::connectionClosed(BackendConnection& connection)
{
    const auto found = this->runOfConnection.find(&connection);
    if (found != this->runOfConnection.end()) {
        const std::uint64_t number = found->second;
        this->connectionOfRun.erase(number);
        this->runOfConnection.erase(found);
        if (this->runs[number].outcome == "waiting") {
            std::erase(this->waiting, number);
            this->runs[number].outcome = "cancelled";
        } else if (this->runs[number].outcome == "running") {
            this->finishRun(number, "cancelled");
        }
    }
    BackendConnection* identity = &connection;
    this->loop.schedule(std::chrono::steady_clock::now(), [this, identity] { this->connections.erase(identity); });
}

void BackendServer::applySettings(const nlohmann::json& changes)
{
    BackendSettings& current = this->settings;
    this->service = changes.value("service", this->service);
    current.slots = changes.value("slots", current.slots);
    current.queueLimit = changes.value("queueLimit", current.queueLimit);
    current.draining = changes.value("draining", current.draining);
    current.shedding = changes.value("shedding", current.shedding);
    current.frozen = changes.value("frozen", current.frozen);
    current.speed = changes.value("speed", current.speed);
    current.coldFactor = changes.value("coldFactor", current.coldFactor);
    if (changes.contains("coldMs")) {
        current.warmAt
            = std::chrono::steady_clock::now() + std::chrono::milliseconds(changes.at("coldMs").get<std::int64_t>());
    }
    if (changes.contains("falseLoad")) {
        current.falseLoad = changes.at("falseLoad").is_null() ? -1.0 : changes.at("falseLoad").get<double>();
    }
    current.loadLag = std::chrono::milliseconds(changes.value("loadLagMs", current.loadLag.count()));
    this->startNext();
}

void BackendServer::recordLoad()
{
    const double load
        = static_cast<double>(this->running + this->waiting.size()) / static_cast<double>(this->settings.slots);
    this->loadSamples.push_back(LoadSample { std::chrono::steady_clock::now(), load });
    if (this->loadSamples.size() > maximumLoadSamples) {
        this->loadSamples.pop_front();
    }
}

double BackendServer::reportedLoad() const
{
    if (this->settings.falseLoad >= 0) {
        return this->settings.falseLoad;
    }
    const TimePoint asOf = std::chrono::steady_clock::now() - this->settings.loadLag;
    const auto newest = std::find_if(this->loadSamples.rbegin(), this->loadSamples.rend(),
        [asOf](const LoadSample& load) { return load.time <= asOf; });
    return newest == this->loadSamples.rend() ? 0.0 : newest->value;
}

nlohmann::json BackendServer::runsAsJson() const
{
    nlohmann::json list = nlohmann::json::array();
    for (const BackendRun& run : this->runs) {
        list.push_back({ { "run", run.number }, { "service", run.service }, { "host", this->host },
            { "requestId", run.requestId }, { "method", run.method }, { "target", run.target },
            { "key", run.idempotencyKey }, { "bodyHash", fmt::format("{:016x}", run.bodyHash) },
            { "bodyBytes", run.bodyBytes }, { "deadlineMs", run.deadlineMs }, { "started", run.started },
            { "arrivalUs", microseconds(run.arrival) }, { "startUs", microseconds(run.start) },
            { "endUs", microseconds(run.end) }, { "outcome", run.outcome },
            { "cancelled", run.outcome == "cancelled" } });
    }
    return { { "runs", list } };
}

nlohmann::json BackendServer::stateAsJson() const
{
    return { { "service", this->service }, { "host", this->host }, { "running", this->running },
        { "waiting", this->waiting.size() }, { "mostRunning", this->mostRunning },
        { "connections", this->connections.size() }, { "runs", this->runs.size() } };
}

}
