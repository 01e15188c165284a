// SPDX-License-Identifier: BSD-2-Clause
#pragma once

#include <wire/connection_pool.h>
#include <wire/wire_error.h>

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace postpaddle::wire {

/// Record of a stream of the platform's log.
struct log_record {
    std::uint64_t offset = 0;
    std::string payload;

    bool operator==(const log_record&) const = default;
};

/// Consecutive records of a stream.
struct log_page {
    std::uint64_t earliest = 1; ///< First offset that the log still holds.
    std::uint64_t next = 1;     ///< Offset of the next append.
    std::vector<log_record> records;

    bool operator==(const log_page&) const = default;
};

/// Client of the platform's log service (HTTP with JSON).
class log_client {
public:
    log_client(asio::io_context& context, std::string address);

    /// Appends a record and returns its offset. After an error the record may have been appended nonetheless.
    [[nodiscard]] expected<std::uint64_t> append(const std::string& stream, const std::string& payload,
                                                 std::chrono::milliseconds timeout, yield_context yield);
    /// Reads records from an offset on. If there are none, waits up to `wait` for one to be appended.
    [[nodiscard]] expected<log_page> read(const std::string& stream, std::uint64_t from,
                                          std::chrono::milliseconds wait, yield_context yield);

    /// Bytes sent and received since the start.
    [[nodiscard]] std::uint64_t traffic_bytes() const { return this->traffic; }
    /// Appends attempted since the start.
    [[nodiscard]] std::uint64_t appends() const { return this->append_count; }

private:
    connection_pool pool;
    std::string address;
    std::uint64_t traffic = 0;
    std::uint64_t append_count = 0;
};

} // namespace postpaddle::wire
