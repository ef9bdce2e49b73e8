#pragma once

#include "Loop.h"

#include <cstdint>
#include <map>
#include <memory>
#include <set>
#include <string>

namespace review {

// The platform's store. Each machine of the system reaches it through a gateway of its own, an address that can be cut
// off: connections then stay open and carry nothing, like those across a partition.
class Store {
public:
    explicit Store(Loop&);

    void openGateway(const Address&);
    void setCut(const Address& gateway, bool cut);

    void write(const std::string& key, const std::string& value);
    void remove(const std::string& key);

    // Keeps a copy of the present state, to which restoreCopy() returns: revisions go back, and the era rises by one.
    void keepCopy();
    void restoreCopy();

    // While away, connections are closed and new ones are ended at once.
    void setAway(bool);

    // While set, the answers to further pages of a listing are lost. Counts answers and lost ones from now on.
    void setLosingFurtherPages(bool);
    int answers() const { return this->answerCount; }
    int lostAnswers() const { return this->lostCount; }

    std::uint64_t revisionOf(const std::string& key) const;
    std::uint64_t currentRevision() const { return this->revision; }

    // Gateways at which a watch is waiting now.
    std::set<Address> watching() const;

private:
    struct Item {
        std::uint64_t revision { 0 };
        std::uint64_t created { 0 };
        std::string value;
        bool removed { false };
    };
    struct Connection {
        int descriptor { -1 };
        Address gateway;
        std::string received;
        bool waiting { false }; // a watch without events so far
        std::uint64_t after { 0 };
    };

    void accept(int listener, const Address& gateway);
    void receive(const std::shared_ptr<Connection>&);
    void handle(const std::shared_ptr<Connection>&, const std::string& target);
    void answer(const std::shared_ptr<Connection>&, int status, const std::string& body);
    void answerListing(const std::shared_ptr<Connection>&, const std::string& after);
    void answerWatch(const std::shared_ptr<Connection>&);
    void changed();
    void close(const std::shared_ptr<Connection>&);
    std::string encodeItem(const std::string& key, const Item&) const;

    Loop& loop;
    std::map<std::string, Item> items;
    std::uint64_t revision { 1 };
    std::uint64_t era { 1 };
    std::map<std::string, Item> copiedItems;
    std::uint64_t copiedRevision { 1 };
    bool away { false };
    bool losingFurtherPages { false };
    int answerCount { 0 };
    int lostCount { 0 };
    std::set<Address> cutGateways;
    std::set<std::shared_ptr<Connection>> connections;
};

}
