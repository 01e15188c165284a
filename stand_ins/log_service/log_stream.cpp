// SPDX-License-Identifier: BSD-2-Clause
#include <log_service/log_stream.h>

namespace postpaddle::stand_in {

std::uint64_t log_stream::append(std::string payload) {
    this->records.push_back({std::move(payload), std::chrono::steady_clock::now()});
    return this->next_offset() - 1;
}

void log_stream::trim(std::chrono::milliseconds retention, std::size_t max_records) {
    const auto oldest = std::chrono::steady_clock::now() - retention;
    while (!this->records.empty() &&
           (this->records.size() > max_records || this->records.front().appended_at < oldest)) {
        this->records.pop_front();
        ++this->first_offset;
    }
}

const std::string& log_stream::at(std::uint64_t offset) const {
    return this->records.at(static_cast<std::size_t>(offset - this->first_offset)).payload;
}

} // namespace postpaddle::stand_in
