// SPDX-License-Identifier: BSD-2-Clause
#include <gateway/operations/decision_log.h>

#include <base/json_parser.h>
#include <base/signal_mask.h>

#include <log4cxx/basicconfigurator.h>
#include <log4cxx/consoleappender.h>
#include <log4cxx/level.h>
#include <log4cxx/logger.h>
#include <log4cxx/patternlayout.h>

#include <algorithm>

namespace postpaddle::gateway {

namespace {

/// Size of the rate limiter's burst, in seconds' worth of lines.
constexpr double burst_seconds = 2;

void configure(const std::string& level) {
    const auto layout = std::make_shared<log4cxx::PatternLayout>(LOG4CXX_STR("%m%n"));
    const auto appender =
        std::make_shared<log4cxx::ConsoleAppender>(layout, log4cxx::ConsoleAppender::getSystemOut());
    log4cxx::BasicConfigurator::configure(appender);
    log4cxx::Logger::getRootLogger()->setLevel(log4cxx::Level::toLevel(level));
}

} // namespace

decision_log::decision_log(const base::clock& clock, const decision_log_options& options)
    : clock(&clock), options(options), lines(options.capacity),
      credit(options.lines_per_second * burst_seconds), credit_updated_at(clock.now()) {
    configure(options.level);
    this->lines.set_on_ready([this] {
        const std::lock_guard lock(this->mutex);
        this->has_lines = true;
        this->wake.notify_one();
    });
    this->writer = std::thread([this] { this->run(); });
}

decision_log::~decision_log() {
    {
        const std::lock_guard lock(this->mutex);
        this->is_stopping = true;
        this->wake.notify_one();
    }
    this->writer.join();
}

bool decision_log::try_take_credit() {
    const base::time_point now = this->clock->now();
    const double max_credit = this->options.lines_per_second * burst_seconds;
    this->credit = std::min(max_credit, this->credit + base::to_seconds(now - this->credit_updated_at) *
                                                           this->options.lines_per_second);
    this->credit_updated_at = now;
    if (this->credit < 1)
        return false;
    this->credit -= 1;
    return true;
}

void decision_log::write(const char* event, nlohmann::json fields) {
    if (!this->try_take_credit()) {
        ++this->dropped_count;
        return;
    }
    if (this->dropped_count > this->reported_dropped_count) {
        this->push("lines_left_out", {{"count", this->dropped_count - this->reported_dropped_count}});
        this->reported_dropped_count = this->dropped_count;
    }
    this->push(event, std::move(fields));
}

void decision_log::write_always(const char* event, nlohmann::json fields) {
    this->push(event, std::move(fields));
}

void decision_log::push(const char* event, nlohmann::json fields) {
    const auto wall = this->clock->wall_now().time_since_epoch();
    fields["at_ms"] = std::chrono::duration_cast<std::chrono::milliseconds>(wall).count();
    fields["event"] = event;
    fields["host"] = this->options.host;
    if (!this->lines.try_push(base::write_json(fields)))
        ++this->dropped_count;
}

void decision_log::run() {
    // They are for the thread that waits for them.
    base::block_control_signals();
    const auto logger = log4cxx::Logger::getLogger("postpaddle");
    bool is_last_round = false;
    while (!is_last_round) {
        {
            std::unique_lock lock(this->mutex);
            this->wake.wait(lock, [this] { return this->has_lines || this->is_stopping; });
            this->has_lines = false;
            is_last_round = this->is_stopping;
        }
        for (const std::string& line : this->lines.drain())
            logger->info(line);
    }
}

} // namespace postpaddle::gateway
