#pragma once

#include "protocol/Endpoint.h"

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>

namespace chicoryferry::integration {

// Stand-in for the platform's metadata store: serves range reads and watches over all keys by HTTP.
class StoreStandin {
public:
    // Throws std::runtime_error if the address cannot be bound.
    explicit StoreStandin(const Endpoint&);
    ~StoreStandin();
    StoreStandin(const StoreStandin&) = delete;
    StoreStandin& operator=(const StoreStandin&) = delete;

    void write(const std::string& key, const std::string& value);

    // Answers with the text in place of the item of the key; the text need not be valid JSON.
    void writeItem(const std::string& key, const std::string& text);

    void remove(const std::string& key);

    // Keeps a copy of the present state, to which restoreCopy() returns: later changes are forgotten, revisions are
    // given out again, and all answers state an era that is higher by one unless `raisesEra` is false. Waiting watches
    // get 410.
    void keepCopy();
    void restoreCopy(bool raisesEra = true);

    // While down, every call, including pending watches, is answered with 503.
    void setDown(bool);

    // While forgetting, every watch gets 410 at once.
    void setForgettingHistory(bool);

    // Sets the number of items after which a page of a listing is full.
    void setPageItems(std::size_t);

    // While holding, answers to further pages of a listing are delivered only afterwards.
    void setHoldingFurtherPages(bool);

    // Number of calls so far.
    std::size_t calls() const;

    // While holding, answers to watches are made as usual but are delivered only afterwards, like those that a
    // partition delays.
    void setHoldingWatches(bool);

private:
    class Implementation;
    std::unique_ptr<Implementation> implementation;
};

}
