// SPDX-License-Identifier: BSD-2-Clause
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

/// Targets of requests, built from values and checked before they are sent.
///
/// A name that was read from elsewhere may hold any bytes. As it stands, it would end the parameter, the
/// target or the whole head of the request, and whoever chose the name would go on with words of their own.
namespace postpaddle::wire {

/// Parameter of a target's query.
struct target_parameter {
    std::string name;
    std::variant<std::uint64_t, std::string> value;

    bool operator==(const target_parameter&) const = default;
};

/// Values of a target; texts may hold any bytes, up to some megabytes.
struct target_parts {
    std::vector<std::string> path; ///< Segments between the slashes.
    std::vector<target_parameter> query{};

    bool operator==(const target_parts&) const = default;
};

/// Builds a target in origin form with all but unreserved characters percent-encoded.
/// Source: RFC 3986, section 2, and RFC 9112, section 3.2.1.
[[nodiscard]] std::string make_target(const target_parts& parts);

/// Value of the target's first parameter of that name, percent-decoded and with `+` for a blank, as in
/// `application/x-www-form-urlencoded`. Empty if there is none.
[[nodiscard]] std::string find_parameter(std::string_view target, std::string_view name);

/// Whether a text names something below a path: not empty, and no segment that stands for a folder (RFC 3986,
/// section 3.3), which servers resolve encoded as well.
[[nodiscard]] bool is_path_segment(std::string_view text);

} // namespace postpaddle::wire
