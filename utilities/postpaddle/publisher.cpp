// SPDX-License-Identifier: BSD-2-Clause
#include <postpaddle/publisher.h>

#include <functional>

namespace postpaddle::utility {

namespace {

using namespace std::chrono_literals;
using base::boot_clock;

constexpr const char* settings_stream = "settings";
constexpr const char* snapshots_stream = "settings-snapshots";
constexpr auto append_timeout = 2'000ms;
constexpr auto retry_interval = 100ms;
/// An append whose response was lost may still take effect for this long.
constexpr auto max_append_delay = 1'000ms;

/// Reads and appends to the settings stream, and evaluates its records.
class settings_stream_reader {
public:
    explicit settings_stream_reader(wire::asio::io_context& context, const publish_options& options)
        : context(&context), log(context, options.log_address),
          deadline(boot_clock::now() + options.timeout) {}

    /// Reads to the end of the stream; false if the deadline passes first.
    bool catch_up(wire::yield_context yield) {
        while (!this->is_past_deadline()) {
            const auto page = this->log.read(settings_stream, this->state.next_offset, 0ms, yield);
            if (!page) {
                this->sleep_for(retry_interval, yield);
                continue;
            }
            settings::update_earliest_offset(this->state, page->earliest);
            if (this->state.phase == settings::replay_phase::needs_base_state &&
                !this->apply_snapshots(yield)) {
                this->sleep_for(retry_interval, yield);
                continue;
            }
            for (const wire::log_record& record : page->records)
                settings::apply_record(this->state, record.offset, record.payload);
            if (this->state.next_offset >= page->next)
                return true;
        }
        return false;
    }

    bool apply_snapshots(wire::yield_context yield) {
        settings::log_offset from = 1;
        bool was_found = false;
        while (true) {
            const auto page = this->log.read(snapshots_stream, from, 0ms, yield);
            if (!page || page->records.empty())
                return was_found;
            for (const wire::log_record& record : page->records) {
                from = record.offset + 1;
                settings::settings_state candidate = this->state;
                candidate.phase = settings::replay_phase::needs_base_state;
                if (settings::apply_snapshot(candidate, record.payload)) {
                    this->state = std::move(candidate);
                    was_found = true;
                }
            }
        }
    }

    bool append(const std::string& payload, wire::yield_context yield) {
        return this->log.append(settings_stream, payload, append_timeout, yield).has_value();
    }

    void sleep_for(std::chrono::milliseconds duration, wire::yield_context yield) {
        wire::error_code ignored;
        wire::boot_timer timer(*this->context, duration);
        timer.async_wait(yield[ignored]);
    }

    [[nodiscard]] bool is_past_deadline() const { return boot_clock::now() >= this->deadline; }

    settings::settings_state state;

private:
    wire::asio::io_context* context;
    wire::log_client log;
    boot_clock::time_point deadline;
};

/// Appends the record, again if needed, until its verdict has been read.
tl::expected<settings::change_verdict, std::string>
append_until_evaluated(settings_stream_reader& reader, const settings::settings_record& record,
                       wire::yield_context yield) {
    const std::string payload = settings::encode_record(record);
    while (!reader.is_past_deadline()) {
        const bool was_answered = reader.append(payload, yield);
        if (!was_answered)
            reader.sleep_for(max_append_delay, yield);
        if (!reader.catch_up(yield))
            break;
        if (const auto* const verdict = settings::verdict_of(reader.state, record.change_id);
            verdict != nullptr)
            return *verdict;
    }
    return tl::make_unexpected(std::string("no verdict within the time limit; whether change ") +
                               record.change_id + " took effect is unknown");
}

} // namespace

tl::expected<settings::settings_state, std::string> read_settings(const publish_options& options) {
    wire::asio::io_context context{1};
    settings_stream_reader reader(context, options);
    bool was_read = false;
    wire::spawn_coroutine(context, [&](wire::yield_context yield) {
        was_read = reader.catch_up(yield);
        context.stop(); // Pending timeout timers would keep the context running.
    });
    context.run();
    if (!was_read)
        return tl::make_unexpected(std::string("the log did not answer within the time limit"));
    return reader.state;
}

tl::expected<settings::change_verdict, std::string> publish(const publish_options& options,
                                                            settings::settings_record record) {
    wire::asio::io_context context{1};
    settings_stream_reader reader(context, options);
    tl::expected<settings::change_verdict, std::string> result =
        tl::make_unexpected(std::string("the log did not answer within the time limit"));
    wire::spawn_coroutine(context, [&](wire::yield_context yield) {
        if (reader.catch_up(yield)) {
            if (record.base_revision == 0)
                record.base_revision = reader.state.revision;
            result = append_until_evaluated(reader, record, yield);
        }
        context.stop();
    });
    context.run();
    return result;
}

} // namespace postpaddle::utility
