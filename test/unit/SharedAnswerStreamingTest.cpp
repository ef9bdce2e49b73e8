#include "app/AnswerStream.h"

#include <doctest/doctest.h>
#include <map>
#include <rapidcheck.h>

using namespace chicoryferry;

namespace {

struct Reader {
    bool started { false };
    std::string body;
    std::optional<bool> complete;
};

void takeAll(AnswerStream& stream, std::map<std::uint64_t, Reader>& readers)
{
    for (EdgeEvent& event : stream.takeEvents()) {
        if (const auto* start = std::get_if<AnswerStart>(&event)) {
            readers[start->request].started = true;
        } else if (const auto* data = std::get_if<AnswerData>(&event)) {
            readers[data->request].body += data->data;
        } else if (const auto* finish = std::get_if<AnswerFinish>(&event)) {
            readers[finish->request].complete = finish->complete;
        }
    }
}

}

// Guarantee P3 of docs/promises.md: each caller gets the complete answer to its own request. Guards against lost,
// repeated or reordered bytes for readers of a shared run that join at any time and read at any pace.
TEST_CASE("each reader of a shared answer gets the whole answer")
{
    CHECK(rc::check("readers of a shared answer", [] {
        const auto size = *rc::gen::inRange<std::size_t>(0, 3 * AnswerStream::sharedWindowBytes);
        std::string answer(size, 'a');
        for (std::size_t index = 0; index < size; index += 997) {
            answer[index] = static_cast<char>('b' + index % 20);
        }
        AnswerStream stream(true);
        std::map<std::uint64_t, Reader> readers;
        std::map<std::uint64_t, std::size_t> consumed;
        std::uint64_t joined = 1;
        RC_ASSERT(stream.addReader(1));
        stream.setHead({ 200, {}, BodyFraming::ContentLength, size });
        std::size_t sent = 0;
        std::size_t credit = AnswerStream::windowBytes;
        for (int round = 0; round < 2000 && !(stream.isFinished() && stream.readerCount() == 0); ++round) {
            if (round < 60 && *rc::gen::inRange(0, 10) == 0 && stream.addReader(joined + 1)) {
                ++joined;
            }
            const std::size_t part = std::min({ size - sent, credit, *rc::gen::inRange<std::size_t>(1, 200000) });
            stream.append(answer.substr(sent, part));
            sent += part;
            credit -= part;
            if (sent == size && !stream.isFinished()) {
                stream.finish(true);
            }
            takeAll(stream, readers);
            for (auto& [request, reader] : readers) {
                const std::size_t step = std::min<std::size_t>(reader.body.size() - consumed[request], 150000);
                if (round > 60 || (request + static_cast<std::uint64_t>(round)) % 3 == 0) {
                    stream.consumed(request, step);
                    consumed[request] += step;
                }
                RC_ASSERT(reader.body.size() - consumed[request] <= AnswerStream::windowBytes);
            }
            credit += stream.takeCredit();
        }
        for (std::uint64_t request = 1; request <= joined; ++request) {
            RC_ASSERT(readers[request].started);
            RC_ASSERT(readers[request].complete == true);
            RC_ASSERT((readers[request].body == answer));
        }
    }));
}

// Guards against unbounded memory use: one caller that reads nothing must not make the agent buffer a whole large
// answer, such as a drawing.
TEST_CASE("a shared run is throttled to its slowest reader")
{
    AnswerStream stream(true);
    stream.addReader(1);
    stream.addReader(2);
    stream.setHead({ 200, {}, BodyFraming::UntilClose, 0 });
    std::size_t credit = stream.credit() + stream.takeCredit();
    std::map<std::uint64_t, Reader> readers;
    std::size_t sent = 0;
    for (int round = 0; round < 100; ++round) {
        const std::size_t part = std::min<std::size_t>(credit - sent, 65536);
        stream.append(std::string(part, 'x'));
        sent += part;
        const std::size_t before = readers[1].body.size();
        takeAll(stream, readers);
        stream.consumed(1, readers[1].body.size() - before);
        credit += stream.takeCredit();
    }
    CHECK(sent == AnswerStream::sharedWindowBytes);
    CHECK(readers[2].body.size() == AnswerStream::windowBytes);
    stream.removeReader(2);
    CHECK(stream.takeCredit() > 0);
}

// Guarantee P3 of docs/promises.md: each caller gets the complete answer to its own request. Guards against a reader
// that joins after the first bytes of the answer were discarded.
TEST_CASE("no reader joins after the first bytes were discarded")
{
    AnswerStream shared(true);
    shared.addReader(1);
    shared.setHead({ 200, {}, BodyFraming::UntilClose, 0 });
    std::map<std::uint64_t, Reader> readers;
    shared.append("abc");
    takeAll(shared, readers);
    CHECK(shared.addReader(2));
    AnswerStream unshared(false);
    unshared.addReader(1);
    unshared.setHead({ 200, {}, BodyFraming::UntilClose, 0 });
    unshared.append("abc");
    takeAll(unshared, readers);
    CHECK_FALSE(unshared.addReader(2));
}
