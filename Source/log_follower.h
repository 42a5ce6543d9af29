#pragma once

#include "kernel.h"
#include "record_mirror.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace cyclamen {

/// Result of one call to a log of keyed records.
enum class log_call_end {
    answered,
    gone,   // the requested records are no longer retained
    failed, // no response, or a malformed one
};

/// The response to one list or read call.
struct log_page {
    log_call_end end = log_call_end::failed;
    std::string why; // error text of a failed call
    std::vector<mirrored_record> records;
    std::uint64_t log_end = 0;             // offset after the log's last record
    std::optional<std::string> more_after; // key after which the next list page starts
};

struct log_follower_options {
    std::string name; // name of the followed log in event logs
    // Longest time that a read blocks until there are new records; 0 returns at once.
    millis wait{0};
    // Delay after a response before the next read, so that one read returns a burst of records.
    millis pause = 250ms;
    millis retry_pause = 250ms; // delay after a failed call
};

/// Keeps a mirror up to date with one log: lists the newest record of each key, then reads
/// new records from that offset on.  Lists again if the log no longer retains the next record.
class log_follower {
public:
    struct hooks {
        std::function<void(const std::optional<std::string>& after,
                           std::function<void(log_page)> on_page)>
            list;
        std::function<void(std::uint64_t from, millis wait, std::function<void(log_page)> on_page)>
            read;
        /// False while peers read the log and forward its records to this process.  If unset, this
        /// process always reads.
        std::function<bool()> should_read;
        /// Called for each successful response, before its records are applied to the mirror.
        std::function<void()> on_answered;
        std::function<void(const std::string& why)> on_failed;
        /// Called after records were applied to the mirror.
        std::function<void()> on_taken;
    };

    log_follower(kernel& core, log_follower_options options, record_mirror& mirror,
                 hooks collaborators);

    void start();
    /// Whether a blocking read of the log is in progress.
    bool waiting() const { return waiting_; }
    /// Whether the log is answering: set by a successful call, cleared by a failed one.
    bool answered() const { return answered_; }

private:
    void list_next();
    void read_next();
    void read_now();
    void page_listed(log_page page);
    void page_read(log_page page);
    void fail(const std::string& why);
    void later(millis delay, void (log_follower::*step)());

    kernel& core_;
    log_follower_options options_;
    record_mirror& mirror_;
    hooks hooks_;
    std::vector<mirrored_record> listed_;
    std::optional<std::uint64_t> listing_end_; // end of the log as of the first list page
    std::optional<std::string> after_;
    bool waiting_ = false;
    bool answered_ = false;
    kernel::timer timer_;
};

} // namespace cyclamen
