// SPDX-License-Identifier: BSD-2-Clause
#include <platform_server/run_log.h>

#include <cstdlib>
#include <fcntl.h>
#include <iostream>
#include <unistd.h>

namespace postpaddle::stand_in {

run_log::run_log(const std::string& path) {
    if (path.empty())
        return;
    static constexpr mode_t mode = 0644;
    this->descriptor = open(path.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, mode);
    if (this->descriptor < 0) {
        std::cerr << "can't open " << path << '\n';
        std::exit(EXIT_FAILURE); // NOLINT(concurrency-mt-unsafe): single-threaded here.
    }
}

run_log::~run_log() {
    if (this->is_open())
        close(this->descriptor);
}

int run_log::write_arrival(const wire::http_request& request, bool is_prefill, int refused_with,
                           base::time_point now) {
    const int number = ++this->arrivals;
    this->write_line({{"number", number},
                      {"at_ms", base::to_milliseconds(now.time_since_epoch())},
                      {"attempt", wire::find_header(request.headers, "X-Attempt-Id")},
                      {"is_prefill", is_prefill},
                      {"runs", !is_prefill && refused_with == 0},
                      {"refused_with", refused_with}});
    return number;
}

void run_log::write_end(int number, answer_end end, base::time_point now) {
    this->write_line({{"number", number},
                      {"at_ms", base::to_milliseconds(now.time_since_epoch())},
                      {"is_broken_off", end == answer_end::broken_off},
                      {"is_endless", end == answer_end::without_end}});
}

void run_log::write_line(const nlohmann::json& line) const {
    if (!this->is_open())
        return;
    const std::string text = line.dump() + "\n";
    if (write(this->descriptor, text.data(), text.size()) != static_cast<ssize_t>(text.size()))
        std::cerr << "a line of the run log was not written\n";
}

} // namespace postpaddle::stand_in
