// SPDX-License-Identifier: BSD-2-Clause
#pragma once

#include <chrono>
#include <cstdint>
#include <deque>
#include <string>

namespace postpaddle::stand_in {

/// In-memory stream of log records with consecutive offsets.
class log_stream {
public:
    /// Returns the offset of the new record.
    std::uint64_t append(std::string payload);
    /// Drops records older than the retention, and the oldest records beyond `max_records`.
    void trim(std::chrono::milliseconds retention, std::size_t max_records);

    [[nodiscard]] std::uint64_t earliest_offset() const { return this->first_offset; }
    [[nodiscard]] std::uint64_t next_offset() const { return this->first_offset + this->records.size(); }
    /// Payload at an offset. Throws `std::out_of_range` if the record is not retained.
    [[nodiscard]] const std::string& at(std::uint64_t offset) const;

private:
    struct record {
        std::string payload;
        std::chrono::steady_clock::time_point appended_at;
    };

    std::deque<record> records;
    std::uint64_t first_offset = 1;
};

} // namespace postpaddle::stand_in
