#pragma once

#include "kernel.h"
#include "service.h"
#include "stream_origins.h"

#include <nlohmann/json_fwd.hpp>
#include <wire.pb.h>

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace cyclamen {

class relay_state;

struct origin_exchange_options {
    // Streams that begin within these times before all entries are killed cannot be continued.
    millis share_interval = 15ms;   // between two messages with new streams to a peer
    millis archive_interval = 60ms; // between two writes of new streams
    // Streams of this time make up one record of the archive, which is written again as they come.
    millis archive_slot = 1000ms;
    // Time in which the peers, and then the archive, can tell where a stream began.
    millis peer_timeout = 60ms;
    millis archive_timeout = 400ms;
    millis archive_retry = 1000ms; // after the archive could not be read
};

/// Shares with the peers at which software version streams began while servers of several versions
/// serve, so that callers can take a stream up again at any entry, and archives it in the store, so
/// that they can when all entries have restarted.  Owned by the kernel as "origins".
class origin_exchange : public service {
public:
    struct hooks {
        /// Sends a message to the peers that hold the streams of all entries; returns the number
        /// of peers.
        std::function<std::size_t(const wire::stream_origins&)> send;
        /// Whether this entry archives the streams of all.
        std::function<bool()> is_archiver;
        /// Replaces a record of the archive, of which the slot is the number; passes on whether
        /// that is confirmed.
        std::function<void(std::uint64_t slot, const wire::stream_origins&,
                           std::function<void(bool)>)>
            archive;
        /// Reads the archive; passes nothing on if the store does not answer.
        std::function<void(std::function<void(std::optional<std::vector<wire::stream_origins>>)>)>
            read_archive;
        /// Reads the list of backend servers to its present end; passes on whether that was done.
        std::function<void(std::function<void(bool)>)> read_servers;
    };

    origin_exchange(kernel& core, origin_exchange_options options, hooks collaborators);

    std::string_view name() const override { return "origins"; }
    void start() override;
    nlohmann::json describe() const override;

    /// Handles a message of a peer; returns the reply, if there is one to send.
    std::optional<wire::stream_origins> handle(const wire::stream_origins& message);
    /// Archives all streams again: the store was restored from an older copy.
    void store_restored();

private:
    using on_version = std::function<void(std::optional<std::string>)>;
    struct search {
        std::string service;
        std::vector<on_version> waiting;
        std::size_t replies_due = 0; // peers that have not replied yet
        bool in_archive = false;     // the peers don't know it
        bool in_servers = false;     // the archive does not know it either
        kernel::timer timeout;
    };

    void search_for(std::uint64_t stream, const std::string& service, on_version on_end);
    void search_archive(std::uint64_t stream);
    void search_servers(std::uint64_t stream);
    void read_servers();
    void read_archive();
    void on_archive_read(const std::optional<std::vector<wire::stream_origins>>& batches);
    void end_search(std::uint64_t stream, const std::optional<std::string>& version);
    void share();
    void archive();
    void merge(const wire::stream_origins& batch);

    kernel& core_;
    origin_exchange_options options_;
    hooks hooks_;
    relay_state* state_ = nullptr;
    std::map<std::uint64_t, search> searches_;  // by stream
    std::uint64_t slot_ = 0;                    // of the archive, for the time of the last write
    wire::stream_origins batch_;                // contents of that slot
    std::vector<std::uint64_t> servers_wanted_; // streams for which the list is to be read next
    bool servers_busy_ = false;                 // one call at a time
    bool read_wanted_ = false;
    bool archive_busy_ = false;          // one call at a time
    unsigned restores_ = 0;              // restores of the store that were noticed
    millis archive_failed_at_{-1000000}; // initially long past
    kernel::timer share_timer_;
    kernel::timer archive_timer_;
};

} // namespace cyclamen
