// SPDX-License-Identifier: BSD-2-Clause
#pragma once

#include <boost/system/error_code.hpp>
#include <tl/expected.hpp>

#include <cstddef>
#include <string>

namespace postpaddle::wire {

/// Kind of a communication failure.
enum class wire_failure {
    bad_address,    ///< Not an IP address and port, or not available to listen at.
    not_connected,  ///< Could not connect; nothing was sent.
    withheld,       ///< Not sent, as it must not be any more.
    unsendable,     ///< Not sent, as it holds what no request may hold.
    not_listening,  ///< Connection refused, as nothing listens at the address; nothing was sent.
    broken,         ///< The connection ended within a message.
    late,           ///< Timed out.
    malformed,      ///< Violates the protocol, or is not the expected message.
    too_large,      ///< The message's body exceeds the size limit.
    head_too_large, ///< The message's head exceeds the size limit.
    no_room,        ///< This process has no memory left for the message.
    refused,        ///< The peer responded with an error status.
    cancelled,      ///< Cancelled by this side.
    closed,         ///< The connection ended between two messages.
};

/// Communication failure with details for logs.
struct wire_error {
    wire_failure failure = wire_failure::broken;
    std::string detail;
    std::size_t arrived_bytes = 0; ///< Part of the response's body received before a timeout.

    bool operator==(const wire_error&) const = default;
};

template <class T> using expected = tl::expected<T, wire_error>;

/// Name of a failure in logs and metrics.
[[nodiscard]] const char* to_text(wire_failure failure);

/// Whether the failure occurred before anything was sent.
[[nodiscard]] bool is_before_send(wire_failure failure);

/// Converts an I/O error.
[[nodiscard]] wire_error to_wire_error(const boost::system::error_code& error);

} // namespace postpaddle::wire
