#pragma once

#include "kernel.h"
#include "record_mirror.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace cyclamen {

/// How one call to a log of keyed records ended.
enum class log_call_end {
    answered,
    gone,   // the records that were asked for are not kept any more
    failed, // no answer, or none that can be read
};

/// What one call returned.
struct log_page {
    log_call_end end = log_call_end::failed;
    std::string why; // it failed
    std::vector<mirrored_record> records;
    std::uint64_t log_end = 0;             // offset after the last record of the log
    std::optional<std::string> more_after; // of a listing: continue after this key
};

struct log_follower_options {
    std::string name;           // of the log, for logs
    millis wait{0};             // that a read may be kept waiting for news; 0 asks at once
    millis pause = 250ms;       // after an answer, so that news that come together cost one
    millis retry_pause = 250ms; // after a call that failed
};

/// Keeps a mirror up to date with one log: lists the newest record of each key, then
/// reads on from there, and lists again where the log has dropped what comes next.
class log_follower {
public:
    struct hooks {
        std::function<void(const std::optional<std::string>& after,
                           std::function<void(log_page)> on_page)>
            list;
        std::function<void(std::uint64_t from, millis wait, std::function<void(log_page)> on_page)>
            read;
        /// False while peers read for this process; nothing asks always.
        std::function<bool()> should_read;
        /// Before the records of an answer are taken.
        std::function<void()> on_answered;
        std::function<void(const std::string& why)> on_failed;
        /// After the records of an answer were taken.
        std::function<void()> on_taken;
    };

    log_follower(kernel& core, log_follower_options options, record_mirror& mirror,
                 hooks collaborators);

    void start();
    /// A read waits for news at the log right now.
    bool waiting() const { return waiting_; }
    /// The last call was answered.
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
    std::optional<std::uint64_t> listing_end_; // the log's end at the first page
    std::optional<std::string> after_;
    bool waiting_ = false;
    bool answered_ = false;
    kernel::timer timer_;
};

} // namespace cyclamen
