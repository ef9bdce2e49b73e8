// Measures request placement against the goals of docs/design.md, section 1.3. Runs the decision classes in simulated
// time: arrivals, run times and message delays are simulated, everything else is production code.
// Usage: PlacementBench [SEEDS [SECONDS [head|loads|swing|balance|waste|flood|retries|identical]]]

#include "PlacementBaselines.h"
#include "PlacementSimulation.h"
#include "PlacementWorkload.h"

#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <fmt/format.h>
#include <set>
#include <string>
#include <vector>

using namespace chicoryferry::bench;

namespace {

constexpr unsigned noFalseLoadHost = 1000; // an index past the last host: no host reports a false load

struct Sample {
    std::vector<Arrival> arrivals;
    Record record;
};

struct System {
    std::string name;
    std::vector<Sample> samples; // by seed
};

struct Percentiles {
    double p50 { 0 };
    double p99 { 0 };
    double p999 { 0 };
    double highest { 0 };
};

int missedGoals = 0;
unsigned seeds = 3;
double secondsPerRun = 60;

double milliseconds(Duration duration) { return static_cast<double>(duration.count()) / 1000; }

Percentiles percentiles(std::vector<double> values)
{
    Percentiles result;
    if (values.empty()) {
        return result;
    }
    std::sort(values.begin(), values.end());
    const auto at = [&](double share) {
        return values[std::min(
            values.size() - 1, static_cast<std::size_t>(share * static_cast<double>(values.size())))];
    };
    return { at(0.5), at(0.99), at(0.999), values.back() };
}

void printGoal(const std::string& text, const std::string& figure, bool met)
{
    missedGoals += met ? 0 : 1;
    fmt::print("| {} | {} | {} |\n", text, figure, met ? "met" : "MISSED");
}

void printGoalHeading() { fmt::print("\n| goal | figure | verdict |\n| --- | --- | --- |\n"); }

bool isMeasured(const Traffic& traffic, const Arrival& arrival)
{
    return milliseconds(arrival.at) >= traffic.warmupSeconds * 1000;
}

bool isInTime(const Arrival& arrival, const Outcome& outcome)
{
    return outcome.answered.count() >= 0 && outcome.answered - arrival.at <= arrival.deadline;
}

System runPlacement(const Deployment& deployment, const Traffic& traffic, unsigned falseLoadHost = noFalseLoadHost)
{
    System system { "placement", {} };
    for (unsigned seed = 1; seed <= seeds; ++seed) {
        Sample sample { generateArrivals(deployment, traffic, seed), {} };
        PlacementSimulation simulation(deployment, traffic, sample.arrivals, seed, falseLoadHost);
        sample.record = simulation.simulate();
        if (std::getenv("PLACEMENT_BENCH_COUNTERS") != nullptr) {
            fmt::print("{}", simulation.counters());
        }
        system.samples.push_back(std::move(sample));
    }
    return system;
}

System runBaseline(
    const Deployment& deployment, const Traffic& traffic, Baseline baseline, unsigned falseLoadHost, bool dropsExpired)
{
    System system { nameOf(baseline), {} };
    for (unsigned seed = 1; seed <= seeds; ++seed) {
        Sample sample { generateArrivals(deployment, traffic, seed), {} };
        sample.record
            = BaselineSimulation(deployment, sample.arrivals, baseline, seed, falseLoadHost, dropsExpired).simulate();
        system.samples.push_back(std::move(sample));
    }
    return system;
}

std::vector<System> runAll(const Deployment& deployment, const Traffic& traffic,
    unsigned falseLoadHost = noFalseLoadHost, bool dropsExpired = true)
{
    std::vector<System> systems;
    systems.push_back(runPlacement(deployment, traffic, falseLoadHost));
    for (const Baseline baseline :
        { Baseline::Central, Baseline::Hash, Baseline::LeastReported, Baseline::TwoChoices }) {
        systems.push_back(runBaseline(deployment, traffic, baseline, falseLoadHost, dropsExpired));
    }
    return systems;
}

// Wait times in milliseconds. A short request that never ran counts as a wait of its whole deadline.
Percentiles shortWaits(const Traffic& traffic, const System& system)
{
    std::vector<double> waits;
    for (const Sample& sample : system.samples) {
        for (std::size_t index = 0; index < sample.arrivals.size(); ++index) {
            const Arrival& arrival = sample.arrivals[index];
            const Outcome& outcome = sample.record.outcomes[index];
            if (!arrival.isLong && isMeasured(traffic, arrival)) {
                const bool ran = outcome.started.count() >= 0;
                waits.push_back(milliseconds(ran ? outcome.started - arrival.at : arrival.deadline));
            }
        }
    }
    return percentiles(std::move(waits));
}

double shareInTime(const Traffic& traffic, const System& system, const std::function<bool(const Arrival&)>& counts)
{
    double total = 0;
    double inTime = 0;
    for (const Sample& sample : system.samples) {
        for (std::size_t index = 0; index < sample.arrivals.size(); ++index) {
            if (isMeasured(traffic, sample.arrivals[index]) && counts(sample.arrivals[index])) {
                total += 1;
                inTime += isInTime(sample.arrivals[index], sample.record.outcomes[index]) ? 1 : 0;
            }
        }
    }
    return total == 0 ? 0 : inTime / total;
}

bool anyArrival(const Arrival&) { return true; }

// Run time spent between two times (in seconds) on requests that were answered in time, as a fraction of the slot
// capacity.
double capacityInTime(const Deployment& deployment, const System& system, double from, double to)
{
    double work = 0;
    for (const Sample& sample : system.samples) {
        for (const BusyInterval& interval : sample.record.busy) {
            const Arrival& arrival = sample.arrivals[interval.request];
            if (isInTime(arrival, sample.record.outcomes[interval.request])) {
                const double begin = std::max(milliseconds(interval.from) / 1000, from);
                const double end = std::min(milliseconds(interval.to) / 1000, to);
                work += std::max(0.0, end - begin);
            }
        }
    }
    return work / (deployment.totalSlots() * (to - from) * static_cast<double>(system.samples.size()));
}

// Times from arrival to refusal, in milliseconds.
std::vector<double> refusalTimes(const Traffic& traffic, const System& system)
{
    std::vector<double> times;
    for (const Sample& sample : system.samples) {
        for (std::size_t index = 0; index < sample.arrivals.size(); ++index) {
            const Outcome& outcome = sample.record.outcomes[index];
            if (outcome.refused.count() >= 0 && isMeasured(traffic, sample.arrivals[index])) {
                times.push_back(milliseconds(outcome.refused - sample.arrivals[index].at));
            }
        }
    }
    return times;
}

struct Imbalance {
    double worst { 0 }; // over all windows
    double mean { 0 };
};

// Ratio of the busy time of the busiest host to the mean of all hosts, over windows of 10 s.
Imbalance imbalance(const Deployment& deployment, const Traffic& traffic, const System& system)
{
    constexpr double window = 10;
    Imbalance result;
    int windows = 0;
    for (const Sample& sample : system.samples) {
        for (double from = traffic.warmupSeconds; from + window <= traffic.seconds; from += window) {
            std::vector<double> busy(deployment.hosts, 0);
            for (const BusyInterval& interval : sample.record.busy) {
                const double begin = std::max(milliseconds(interval.from) / 1000, from);
                const double end = std::min(milliseconds(interval.to) / 1000, from + window);
                busy[interval.host] += std::max(0.0, end - begin);
            }
            double total = 0;
            for (const double one : busy) {
                total += one;
            }
            const double ratio = *std::max_element(busy.begin(), busy.end()) * deployment.hosts / total;
            result.worst = std::max(result.worst, ratio);
            result.mean += ratio;
            ++windows;
        }
    }
    result.mean /= std::max(1, windows);
    return result;
}

// Fraction of the busy time spent on requests that were not answered in time or that their caller had abandoned.
double wastedWork(const System& system)
{
    double wasted = 0;
    double total = 0;
    for (const Sample& sample : system.samples) {
        for (const BusyInterval& interval : sample.record.busy) {
            const Arrival& arrival = sample.arrivals[interval.request];
            const Outcome& outcome = sample.record.outcomes[interval.request];
            const bool abandoned = arrival.abandonedAfter.count() > 0
                && (outcome.answered.count() < 0 || outcome.answered - arrival.at > arrival.abandonedAfter);
            const double work = milliseconds(interval.to - interval.from);
            total += work;
            wasted += abandoned || !isInTime(arrival, outcome) ? work : 0;
        }
    }
    return wasted / total;
}

Traffic steady(double load)
{
    Traffic traffic;
    traffic.seconds = secondsPerRun;
    traffic.load = [load](double) { return load; };
    return traffic;
}

void measureHeadOfLine(const Deployment& deployment, double load)
{
    Traffic traffic = steady(load);
    traffic.longOneIn = 50;
    // All baselines but the central queue run expired requests here: if their waits were cut off at the deadline, the
    // percentiles would be too low.
    const std::vector<System> systems = runAll(deployment, traffic, noFalseLoadHost, false);
    fmt::print("\nWait of short requests in ms, 1 in 50 requests runs 100 times longer, load {}\n\n", load);
    fmt::print(
        "| system | p50 | p99 | p99.9 | answered in time, short | long |\n| --- | --- | --- | --- | --- | --- |\n");
    std::vector<Percentiles> waits;
    for (const System& system : systems) {
        waits.push_back(shortWaits(traffic, system));
        fmt::print("| {} | {:.2f} | {:.2f} | {:.2f} | {:.4f} | {:.4f} |\n", system.name, waits.back().p50,
            waits.back().p99, waits.back().p999,
            shareInTime(traffic, system, [](const Arrival& arrival) { return !arrival.isLong; }),
            shareInTime(traffic, system, [](const Arrival& arrival) { return arrival.isLong; }));
    }
    const double bound = 1.5 * waits[1].p99 + 2 * milliseconds(deployment.betweenZones);
    printGoalHeading();
    printGoal(fmt::format("p99 wait of short requests <= 1.5 x central queue + 1 round trip = {:.2f} ms", bound),
        fmt::format("{:.2f} ms", waits[0].p99), waits[0].p99 <= bound);
    printGoal("p99 wait of short requests at least 5 times below hash placement",
        fmt::format("{:.1f} times", waits[2].p99 / waits[0].p99), waits[0].p99 * 5 <= waits[2].p99);
}

void measureLoads(const Deployment& deployment)
{
    fmt::print(
        "\nShare of requests answered within their deadline of 1 s (share of the capacity answered in time)\n\n");
    fmt::print("| load | placement | central queue | hash placement | least reported load | two random choices |\n");
    fmt::print("| --- | --- | --- | --- | --- | --- |\n");
    double atTwice = 0;
    Percentiles refusals;
    double late = 0;
    for (const double load : { 0.7, 0.9, 1.2, 2.0 }) {
        const Traffic traffic = steady(load);
        fmt::print("| {} |", load);
        const std::vector<System> systems = runAll(deployment, traffic);
        for (const System& system : systems) {
            const double capacity = capacityInTime(deployment, system, traffic.warmupSeconds, traffic.seconds);
            fmt::print(" {:.4f} ({:.3f}) |", shareInTime(traffic, system, anyArrival), capacity);
            if (load == 2.0 && system.name == "placement") {
                atTwice = capacity;
                const std::vector<double> times = refusalTimes(traffic, system);
                refusals = percentiles(times);
                late = static_cast<double>(std::count_if(times.begin(), times.end(), [](double time) {
                    return time > 50;
                })) / static_cast<double>(std::max<std::size_t>(1, times.size()));
            }
        }
        fmt::print("\n");
    }
    printGoalHeading();
    printGoal("at 2 times capacity >= 0.95 of the capacity answered in time", fmt::format("{:.3f}", atTwice),
        atTwice >= 0.95);
    printGoal("at 2 times capacity refusals within 50 ms",
        fmt::format("p50 {:.1f}, p99 {:.1f}, highest {:.1f} ms; later than 50 ms: {:.5f}", refusals.p50, refusals.p99,
            refusals.highest, late),
        refusals.highest <= 50);
}

void measureSwing(const Deployment& deployment)
{
    Traffic traffic = steady(0);
    traffic.seconds = 50;
    // Load 0.2 until 15 s, rising to 3 within 2 s, 3 until 27 s, then back to 0.2 within 2 s.
    traffic.load = [](double at) {
        if (at < 15 || at >= 29) {
            return 0.2;
        }
        return at < 17 ? 0.2 + 1.4 * (at - 15) : at < 27 ? 3.0 : 3.0 - 1.4 * (at - 27);
    };
    const std::vector<System> systems = runAll(deployment, traffic);
    fmt::print("\nSwing from 0.2 to 3 times capacity within 2 s and back\n\n");
    fmt::print(
        "| system | answered in time | share of the capacity in time, 17 to 27 s | 29 to 35 s answered in time |\n"
        "| --- | --- | --- | --- |\n");
    for (const System& system : systems) {
        const double after = shareInTime(traffic, system, [](const Arrival& arrival) {
            return arrival.at >= std::chrono::seconds(29) && arrival.at < std::chrono::seconds(35);
        });
        fmt::print("| {} | {:.4f} | {:.3f} | {:.4f} |\n", system.name, shareInTime(traffic, system, anyArrival),
            capacityInTime(deployment, system, 17, 27), after);
    }
    const std::vector<double> times = refusalTimes(traffic, systems[0]);
    const Percentiles refusals = percentiles(times);
    const auto late = std::count_if(times.begin(), times.end(), [](double time) { return time > 50; });
    printGoalHeading();
    printGoal("refusals within 50 ms through the swing",
        fmt::format("p50 {:.1f}, p99 {:.1f}, highest {:.1f} ms; later than 50 ms: {} of {}", refusals.p50, refusals.p99,
            refusals.highest, late, times.size()),
        refusals.highest <= 50);
}

void measureBalance(const Deployment& deployment)
{
    fmt::print("\nBusiest host to mean host by busy time over 10 s windows: worst window (mean of the windows)\n\n");
    fmt::print("| traffic | placement | central queue | hash placement | least reported load | two random choices |\n");
    fmt::print("| --- | --- | --- | --- | --- | --- |\n");
    struct Case {
        double load;
        unsigned longOneIn;
        unsigned falseLoadHost;
        double bound;
    };
    std::vector<std::pair<Case, Imbalance>> results;
    for (const Case& one : { Case { 0.5, 0, noFalseLoadHost, 1.1 }, Case { 0.9, 0, noFalseLoadHost, 1.1 },
             Case { 0.5, 50, noFalseLoadHost, 1.1 }, Case { 0.9, 50, noFalseLoadHost, 1.1 }, Case { 0.5, 0, 0, 1.2 },
             Case { 0.9, 0, 0, 1.2 } }) {
        Traffic traffic = steady(one.load);
        traffic.longOneIn = one.longOneIn;
        const std::vector<System> systems = runAll(deployment, traffic, one.falseLoadHost);
        fmt::print("| load {}{}{} |", one.load, one.longOneIn != 0 ? ", 1 in 50 long" : "",
            one.falseLoadHost != noFalseLoadHost ? ", one host reports a false load" : "");
        for (const System& system : systems) {
            const Imbalance found = imbalance(deployment, traffic, system);
            fmt::print(" {:.3f} ({:.3f}) |", found.worst, found.mean);
            if (system.name == "placement") {
                results.emplace_back(one, found);
            }
        }
        fmt::print("\n");
    }
    printGoalHeading();
    for (const auto& [one, found] : results) {
        printGoal(fmt::format("busiest to mean host <= {} at load {}{}{}", one.bound, one.load,
                      one.longOneIn != 0 ? ", 1 in 50 long" : "",
                      one.falseLoadHost != noFalseLoadHost ? ", one host reports a false load" : ""),
            fmt::format("{:.3f}", found.worst), found.worst <= one.bound);
    }
}

void measureWaste(const Deployment& deployment)
{
    fmt::print("\nShare of the busy time spent on answers that nobody waits for (5 % of the callers leave early)\n\n");
    fmt::print("| load | placement | central queue | hash placement | least reported load | two random choices |\n");
    fmt::print("| --- | --- | --- | --- | --- | --- |\n");
    for (const double load : { 0.9, 2.0 }) {
        Traffic traffic = steady(load);
        traffic.abandoningShare = 0.05;
        traffic.longOneIn = 50;
        fmt::print("| {} |", load);
        for (const System& system : runAll(deployment, traffic)) {
            fmt::print(" {:.4f} |", wastedWork(system));
        }
        fmt::print("\n");
    }
}

void measureFlood(const Deployment& deployment)
{
    Traffic traffic = steady(2.5);
    traffic.callers = 50;
    traffic.floodShare = 0.8; // 49 callers together request half of the capacity, one requests twice the capacity
    fmt::print(
        "\nOne caller floods with 2 times the capacity, 49 others ask for 0.5 together: share answered in time\n\n");
    fmt::print("| system | others | others on the same holder | the flooding caller |\n| --- | --- | --- | --- |\n");
    for (const System& system : runAll(deployment, traffic)) {
        const unsigned holder = std::find_if(
            system.samples[0].arrivals.begin(), system.samples[0].arrivals.end(), [](const Arrival& arrival) {
                return arrival.caller == 0;
            })->holder;
        fmt::print("| {} | {:.4f} | {:.4f} | {:.4f} |\n", system.name,
            shareInTime(traffic, system, [](const Arrival& arrival) { return arrival.caller != 0; }),
            shareInTime(traffic, system,
                [holder](const Arrival& arrival) { return arrival.caller != 0 && arrival.holder == holder; }),
            shareInTime(traffic, system, [](const Arrival& arrival) { return arrival.caller == 0; }));
    }
}

void measureRetries(const Deployment& deployment)
{
    fmt::print("\nExtra runs for each request while a share of the runs breaks off without an answer\n\n");
    fmt::print("| load | broken runs | extra runs for each request | answered in time |\n| --- | --- | --- | --- |\n");
    double worst = 0;
    for (const double load : { 0.7, 2.0 }) {
        for (const double failures : { 0.02, 0.2, 1.0 }) {
            Traffic traffic = steady(load);
            traffic.failureShare = failures;
            const System system = runPlacement(deployment, traffic);
            double extra = 0;
            double requests = 0;
            for (const Sample& sample : system.samples) {
                for (const Outcome& outcome : sample.record.outcomes) {
                    extra += outcome.runs > 1 ? outcome.runs - 1 : 0;
                    requests += 1;
                }
            }
            worst = std::max(worst, extra / requests);
            fmt::print("| {} | {} | {:.4f} | {:.4f} |\n", load, failures, extra / requests,
                shareInTime(traffic, system, anyArrival));
        }
    }
    printGoalHeading();
    printGoal("retries add at most 5 % load", fmt::format("{:.4f}", worst), worst <= 0.05);
}

// Measures the number of runs of a target per mean run time, and the highest number of runs that start during one run.
void measureIdentical(const Deployment& deployment)
{
    Traffic traffic = steady(2.0);
    traffic.sharedTargets = 4;
    const System system = runPlacement(deployment, traffic);
    double runs = 0;
    double runTimes = 0;
    std::size_t mostInSystem = 0;
    std::size_t mostAtHolder = 0;
    for (const Sample& sample : system.samples) {
        for (unsigned target = 0; target < traffic.sharedTargets; ++target) {
            std::vector<BusyInterval> ofTarget;
            for (const BusyInterval& interval : sample.record.busy) {
                if (sample.arrivals[interval.request].target == target) {
                    ofTarget.push_back(interval);
                }
            }
            runs += static_cast<double>(ofTarget.size());
            runTimes += traffic.seconds / std::chrono::duration<double>(traffic.shortRun).count();
            for (const BusyInterval& run : ofTarget) {
                std::size_t startedDuring = 0;
                std::size_t startedDuringAtHolder = 0;
                for (const BusyInterval& other : ofTarget) {
                    const bool during = other.from > run.from && other.from < run.to;
                    startedDuring += during ? 1 : 0;
                    const bool sameHolder
                        = sample.arrivals[other.request].holder == sample.arrivals[run.request].holder;
                    startedDuringAtHolder += during && sameHolder ? 1 : 0;
                }
                mostInSystem = std::max(mostInSystem, startedDuring);
                mostAtHolder = std::max(mostAtHolder, startedDuringAtHolder);
            }
        }
    }
    fmt::print("\nIdentical requests for 4 targets at 2 times capacity; answered in time: {:.4f}\n",
        shareInTime(traffic, system, anyArrival));
    printGoalHeading();
    printGoal("identical requests cost one run for each run time, all holders together",
        fmt::format("{:.2f} runs", runs / runTimes), runs / runTimes <= 1.0);
    printGoal("at most one new run starts while an earlier one is in progress, all holders together",
        fmt::format("{}", mostInSystem), mostInSystem <= 1);
    printGoal("at most one new run starts while an earlier one is in progress, at one holder",
        fmt::format("{}", mostAtHolder), mostAtHolder <= 1);
}

}

int main(int argc, char** argv)
{
    std::setvbuf(stdout, nullptr, _IOLBF, 0);
    seeds = argc > 1 ? static_cast<unsigned>(std::atoi(argv[1])) : seeds;
    secondsPerRun = argc > 2 ? std::atof(argv[2]) : secondsPerRun;
    const std::string only = argc > 3 ? argv[3] : "";
    const std::vector<Deployment> deployments {
        { "Msasani: 7 hosts with 2 slots, 3 availability zones", 7, 2, 3, Duration(500), Duration(100) },
        { "Arriaga: 7 hosts with 3 slots, 4 availability zones", 7, 3, 4, Duration(1000), Duration(100) },
    };
    const auto wanted = [&](const std::string& name) { return only.empty() || only == name; };
    for (const Deployment& deployment : deployments) {
        fmt::print("\n## {}\n\nSeeds 1 to {}, {} s each, the first 10 s not measured. Short runs: 20 ms on average.\n",
            deployment.name, seeds, secondsPerRun);
        if (wanted("head")) {
            measureHeadOfLine(deployment, 0.7);
            measureHeadOfLine(deployment, 0.9);
        }
        if (wanted("loads")) {
            measureLoads(deployment);
        }
        if (wanted("swing")) {
            measureSwing(deployment);
        }
        if (wanted("balance")) {
            measureBalance(deployment);
        }
        if (wanted("waste")) {
            measureWaste(deployment);
        }
        if (wanted("flood")) {
            measureFlood(deployment);
        }
        if (wanted("retries")) {
            measureRetries(deployment);
        }
        if (wanted("identical")) {
            measureIdentical(deployment);
        }
    }
    fmt::print("\n{} goals missed\n", missedGoals);
    return 0;
}
