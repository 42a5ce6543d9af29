#pragma once

#include "kernel.h"
#include "record_mirror.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace cyclamen {

/// Result of one call to a log of keyed records.
enum class log_call_status {
    answered,
    truncated, // the requested records are no longer retained
    failed,    // no response, or a malformed one
};

/// Result of an append to a log of keyed records.
enum class log_append_status {
    confirmed,
    refused, // nothing was appended, nor will be
    unknown, // no response, or one that proves nothing
};

/// The response to one list or read call.
struct keyed_log_page {
    log_call_status end = log_call_status::failed; // status of the call
    std::string error;                             // error text of a failed call
    std::vector<mirrored_record> records;
    std::uint64_t log_end = 0; // offset after the log's last record
    // Offset after the last record that was read, also if that could not be decoded.
    std::uint64_t next_offset = 0;
    // Number of times that the log was restored from an older copy; empty if the log does not tell.
    std::optional<std::uint64_t> era;
    std::optional<std::string> next_page_after; // key after which the next list page starts
};

struct log_follower_options {
    std::string name; // name of the followed log in event logs
    // Longest time that a read blocks until there are new records; 0 returns at once.
    millis wait{0};
    // Delay after a response before the next read, so that one read returns a burst of records.
    // Skipped if a blocking read returned no records, or if the log has more records already.
    millis read_interval = 250ms;
    millis retry_delay = 250ms; // delay after a failed call
};

/// Keeps a mirror up to date with one log: lists the newest record of each key, then reads
/// new records from that offset on.  Lists again if the log no longer retains the next record, or
/// was restored from an older copy.
class log_follower {
public:
    struct hooks {
        /// Requests the list page that starts after the key `after`; the first page if unset.
        std::function<void(const std::optional<std::string>& after,
                           std::function<void(keyed_log_page)> on_page)>
            list;
        /// Requests the records from offset `from` on; may block up to `wait` until there are any.
        std::function<void(std::uint64_t from, millis wait,
                           std::function<void(keyed_log_page)> on_page)>
            read;
        /// False while peers read the log and forward its records to this process.  If unset, this
        /// process always reads.
        std::function<bool()> should_read;
        /// Called for each successful response, before its records are applied to the mirror.
        std::function<void()> on_page_received;
        std::function<void(const std::string& error)> on_failed;
        /// Called after records were applied to the mirror.
        std::function<void()> on_records_applied;
    };

    log_follower(kernel& core, log_follower_options options, record_mirror& mirror,
                 hooks collaborators);

    void start();
    /// Whether a blocking read of the log is in progress.
    bool read_pending() const { return read_pending_; }
    /// Whether the log is answering: set by a successful call, cleared by a failed one.
    bool answered() const { return answered_; }

private:
    void request_next_page();
    void read_next();
    void read_now();
    void handle(const std::function<void()>& page_handler);
    void handle_list_page(keyed_log_page page);
    void handle_read_page(keyed_log_page page);
    void restart_listing();
    bool follow_era(const keyed_log_page& page);
    void fail(const std::string& error);
    void schedule(millis delay, void (log_follower::*step)());

    kernel& core_;
    log_follower_options options_;
    record_mirror& mirror_;
    hooks hooks_;
    std::vector<mirrored_record> listed_records_;
    std::optional<std::uint64_t> listing_end_; // end of the log as of the first list page
    std::uint64_t listing_era_ = 0;            // era of the log as of that page
    unsigned vain_listings_ = 0;               // listings after which no read succeeded
    std::optional<std::string> next_page_after_;
    std::set<std::string> listed_pages_; // keys after which pages of the current listing start
    std::size_t listed_and_ignored_ = 0; // listed records that are not newer than known ones
    std::uint64_t read_era_ = 0;         // era of the mirror when the last read was sent
    bool read_pending_ = false;
    bool answered_ = false;
    kernel::timer timer_;
};

} // namespace cyclamen
