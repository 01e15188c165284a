// SPDX-License-Identifier: BSD-2-Clause
#pragma once

#include <base/identifier.h>
#include <host/stream_origins.h>

#include <chrono>
#include <optional>
#include <string>
#include <string_view>

namespace postpaddle::gateway {

/// What a datagram about the origin of a stream says.
enum class stream_origin_message_kind {
    record,       ///< Keep this record.
    acknowledged, ///< The record is kept.
    question,     ///< What began this stream, and has its service had a single version?
    answer,       ///< This did, or it isn't known here.
    inference,    ///< It isn't known here, but the service has had only this version.
};

/// A datagram about the origin of one stream.
struct stream_origin_message {
    stream_origin_message_kind kind = stream_origin_message_kind::record;
    base::host_id from;
    host::stream_keys keys{};
    /// Of a record, an answer and an inference. Of a question only the service, without a version.
    std::optional<host::stream_origin> origin{};
    std::chrono::milliseconds lifetime{}; ///< How long the record is needed.

    bool operator==(const stream_origin_message&) const = default;
};

/// Encodes as MessagePack.
[[nodiscard]] std::string encode_stream_origin(const stream_origin_message& message);

/// Returns nothing if the bytes are malformed.
[[nodiscard]] std::optional<stream_origin_message> decode_stream_origin(std::string_view bytes);

} // namespace postpaddle::gateway
