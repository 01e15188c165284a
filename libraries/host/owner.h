// SPDX-License-Identifier: BSD-2-Clause
#pragma once

#include <base/identifier.h>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace postpaddle::host {

/// The host and incarnation that a request id or attempt id belongs to.
struct owner {
    base::host_id host;
    std::uint64_t incarnation = 0;

    bool operator==(const owner&) const = default;
};

/// Request id of the owner's `sequence`th request: `HOST.INCARNATION.SEQUENCE`, hexadecimal numbers.
[[nodiscard]] base::request_id make_request_id(const owner& who, std::uint64_t sequence);

/// Attempt id as engines see it: the request id, `.` and the attempt's number.
[[nodiscard]] std::string make_attempt_id(const base::request_id& id, int attempt);

/// Owner of a request or attempt id; empty where the text is none of ours.
[[nodiscard]] std::optional<owner> owner_of(std::string_view id);

} // namespace postpaddle::host
