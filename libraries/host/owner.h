// SPDX-License-Identifier: BSD-2-Clause
#pragma once

#include <base/identifier.h>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace postpaddle::host {

/// Host and incarnation that own a request id or attempt id.
struct owner {
    base::host_id host;
    std::uint64_t incarnation = 0;

    bool operator==(const owner&) const = default;
};

/// Builds the id of the owner's `sequence`th request: `HOST.INCARNATION.SEQUENCE`, with hexadecimal
/// numbers.
[[nodiscard]] base::request_id make_request_id(const owner& who, std::uint64_t sequence);

/// Builds an attempt id as sent to engines: the request id, `.` and the number of the attempt.
[[nodiscard]] std::string make_attempt_id(const base::request_id& id, int attempt);

/// Parses the owner of a request or attempt id; empty if the id was not issued by a host.
[[nodiscard]] std::optional<owner> owner_of(std::string_view id);

} // namespace postpaddle::host
