#include "idempotency_key.h"

#include <algorithm>

namespace cyclamen {

namespace {
constexpr std::size_t max_key_length = 255; // characters
} // namespace

std::optional<idempotency_key> idempotency_key::from_header(const std::string& account,
                                                            std::string_view header)
{
    if (header.size() >= 2 && header.front() == '"' && header.back() == '"') {
        header = header.substr(1, header.size() - 2);
    }
    const bool printable = std::all_of(header.begin(), header.end(), [](char letter) {
        return letter > ' ' && letter <= '~' && letter != '"';
    });
    if (header.empty() || header.size() > max_key_length || !printable) {
        return std::nullopt;
    }
    return idempotency_key{.account = account, .key = std::string(header)};
}

idempotency_key idempotency_key::from_stored(std::string_view stored)
{
    const std::size_t slash = stored.find('/');
    if (slash == std::string_view::npos) {
        return {.account = {}, .key = std::string(stored)};
    }
    return {.account = std::string(stored.substr(0, slash)),
            .key = std::string(stored.substr(slash + 1))};
}

} // namespace cyclamen
