#pragma once

#include "child_process.h"
#include "net_address.h"

#include <chrono>
#include <cstdint>
#include <filesystem>
#include <memory>
#include <string>

namespace cyclamen::test {

inline constexpr const char* orders_topic = "keyed.op";
inline constexpr const char* backends_topic = "keyed.servers";
inline constexpr std::uint16_t callers_port = 8000;

/// A configuration with a route of each kind, `/get/`, `/post/`, `/stream/` and `/resume/`, a
/// stream that may be resumed, to the service `shop`, and `more_routes` others.
std::string entry_configuration(std::uint64_t version, unsigned more_routes);
/// The record of a backend server of that service.
std::string backend_record(const net_address& address, std::uint64_t sequence);

struct entry_process_options {
    std::string name;
    std::string ip;
    net_address store;
    std::filesystem::path folder; // of its settings and its log
    std::chrono::seconds grace{8};
    std::size_t memory_mb = 260;
    std::size_t max_fds = 0; // `Limits.MaxFds`; 0: not in the settings
};

/// The platform's entry as a process with an address and files of its own.
class entry_process {
public:
    explicit entry_process(entry_process_options options);

    void write_settings(double load_multiple) const;
    void write_unreadable_settings() const;

    net_address address(std::uint16_t port) const { return {.host = options_.ip, .port = port}; }
    /// Status of the answer to a readiness check; 0 without one.
    int readiness() const;
    child_process& process() { return *process_; }

private:
    entry_process_options options_;
    std::string settings_path_;
    std::string log_path_;
    std::unique_ptr<child_process> process_;
};

} // namespace cyclamen::test
