#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace cyclamen {

/// An idempotency key.  Its stored form is `ACCOUNT/KEY`, so that keys of different client
/// accounts never collide.
struct idempotency_key {
    std::string account;
    std::string key;

    /// Parses the `Idempotency-Key` header, a quoted string or a bare token.  Returns nothing if
    /// the key is empty, too long, or contains spaces, quotes or non-printable characters.
    static std::optional<idempotency_key> from_header(const std::string& account,
                                                      std::string_view header);
    /// Parses the stored form; without a slash, the account is empty.
    static idempotency_key from_stored(std::string_view stored);
    std::string stored() const { return account + "/" + key; }
};

} // namespace cyclamen
