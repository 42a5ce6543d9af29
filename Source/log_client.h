#pragma once

#include "http_client.h"
#include "net_address.h"
#include "time_types.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace cyclamen {

struct log_client_record {
    std::uint64_t offset = 0;
    millis at{0}; // wall-clock time of the append, on the log's clock
    std::string data;
};

/// Part of a stream.  If retention has dropped the requested records, `first` is above the
/// requested offset.
struct log_page {
    std::uint64_t first = 0; // lowest offset that the log retains
    std::uint64_t next = 0;  // offset of the next append
    std::vector<log_client_record> records;
};

/// HTTP client of the platform's append-only log.  A failed append may still have taken
/// effect; only reading the stream shows whether it has.  Owned by the services that use the
/// log.
class log_client {
public:
    log_client(event_base* loop, net_address server, millis timeout)
        : fetcher_(loop), server_(std::move(server)), timeout_(timeout)
    {
    }

    /// Passes the offset to the callback, or nothing if the append failed or its response was
    /// lost.
    void append(const std::string& stream, const std::string& data,
                std::function<void(std::optional<std::uint64_t>)> on_offset);

    /// Passes up to `max_records` records from offset `from` on to the callback, or nothing if
    /// the log returned no valid response.
    void read(const std::string& stream, std::uint64_t from, unsigned max_records,
              std::function<void(std::optional<log_page>)> on_page);

private:
    http_fetcher fetcher_;
    net_address server_;
    millis timeout_;
};

} // namespace cyclamen
