#pragma once

#include "kernel.h"
#include "service.h"

#include <nlohmann/json_fwd.hpp>

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace cyclamen {

struct peer_directory_options {
    // Time after the start in which an entry hears of others without the directory; to it comes a
    // random part of `spread`, so that entries that start together do not all call the store.
    millis settle_time = 1000ms;
    millis spread = 1000ms;
    // Time for the entries of a list that was read to be heard.
    millis hearing_time = 750ms;
    millis retry = 1000ms; // after a call that failed
    // Age at which the list is read again if nobody else reads it, and the time after which an
    // entry that was never heard is removed from it.
    millis interval = 15000ms;
    millis removal_time = 60000ms;
};

/// Lists entries in the store, so that those that know no living peer, or were cut off from all,
/// find each other.  Each group of entries that hear of each other lists at least the one that
/// leads it, and that one reads the list, so that no two groups stay apart.  Owned by the kernel as
/// "directory".
class peer_directory : public service {
public:
    struct hooks {
        std::string own_address;
        /// Whether this entry leads those that it hears of.
        std::function<bool()> leads;
        std::function<bool(const std::string& address)> hears;
        std::function<void(const std::string& address)> add_peer;
        /// Reads the list; passes nothing on if the store does not answer.
        std::function<void(std::function<void(std::optional<std::vector<std::string>>)>)> read;
        /// Lists this entry; passes on whether that is confirmed.
        std::function<void(std::function<void(bool)>)> add_self;
        std::function<void(const std::vector<std::string>& addresses)> remove;
    };

    peer_directory(kernel& core, peer_directory_options options, hooks collaborators)
        : core_(core), options_(options), hooks_(std::move(collaborators))
    {
    }

    std::string_view name() const override { return "directory"; }
    void start() override;
    nlohmann::json describe() const override;

    /// Takes the list as the store holds it, whoever has read it.
    void on_listed(const std::vector<std::string>& addresses);

private:
    void check();
    void read();
    bool may_hear_others() const;
    void add_self();
    void remove_unheard(const std::vector<std::string>& addresses);

    kernel& core_;
    peer_directory_options options_;
    hooks hooks_;
    bool busy_ = false;        // one call at a time
    bool self_listed_ = false; // as of the last reading or writing
    millis settled_at_{0};
    millis read_at_{-1000000}; // initially long past
    millis failed_at_{-1000000};
    std::map<std::string, millis> unheard_since_; // by listed address
    kernel::timer first_check_;
    kernel::timer timer_;
};

} // namespace cyclamen
