// SPDX-License-Identifier: BSD-2-Clause
#include <service/decision_controller.h>

#include <algorithm>
#include <charconv>
#include <future>

namespace postpaddle::service {

namespace {

using namespace std::chrono_literals;

/// Interval of the core's ticks while requests or effects are queued, and otherwise.
constexpr auto busy_tick_interval = 2ms;
constexpr auto idle_tick_interval = 50ms;
/// Capacity of the progress and effect rings relative to the arrival ring: a request has several of each.
constexpr std::size_t ring_capacity_factor = 8;

const base::request_id& id_of(const decision::effect& effect) {
    return std::visit([](const auto& value) -> const base::request_id& { return value.id; }, effect);
}

/// Whether the reports contain the disconnect of the caller whose request arrives with this event.
///
/// A caller that disconnects at once can be reported before its arrival has been taken from the other ring.
/// If the request were admitted after that, nothing would ever end it.
bool is_disconnected(const decision::event& arrival, const std::vector<decision::event>& reports) {
    const auto* const arrived = std::get_if<decision::request_arrived>(&arrival);
    return arrived != nullptr && std::ranges::any_of(reports, [arrived](const decision::event& report) {
               const auto* const disconnected = std::get_if<decision::caller_disconnected>(&report);
               return disconnected != nullptr && disconnected->id == arrived->facts.id;
           });
}

} // namespace

std::size_t worker_of(const base::request_id& id, std::size_t workers) {
    static constexpr int hexadecimal = 16;
    const auto dot = id.value.rfind('.');
    std::uint64_t sequence = 0;
    if (dot != std::string::npos)
        std::from_chars(id.value.data() + dot + 1, id.value.data() + id.value.size(), sequence, hexadecimal);
    return static_cast<std::size_t>(sequence % workers);
}

decision_controller::decision_controller(const base::clock& clock, const decision_options& options)
    : clock(&clock), options(options), state(decision::make_router(options.router)),
      arrivals(options.ring_capacity), progress(options.ring_capacity * ring_capacity_factor) {
    for (std::size_t worker = 0; worker < options.workers; ++worker)
        this->effect_rings.push_back(
            std::make_unique<effect_ring>(options.ring_capacity * ring_capacity_factor));
    const auto wake = [this] { wire::asio::post(this->context, [this] { this->drain(); }); };
    this->arrivals.set_on_ready(wake);
    this->progress.set_on_ready(wake);
}

decision_controller::~decision_controller() { this->stop(); }

void decision_controller::start() {
    this->schedule_tick();
    this->thread = std::thread([this] { this->context.run(); });
}

void decision_controller::stop() {
    this->context.stop();
    if (this->thread.joinable())
        this->thread.join();
}

bool decision_controller::try_submit(decision::request_facts facts) {
    return this->arrivals.try_push(decision::request_arrived{std::move(facts)});
}

bool decision_controller::try_report(decision::event event) {
    return this->progress.try_push(std::move(event));
}

void decision_controller::inspect(const std::function<void(const decision::router_state&)>& function) {
    std::promise<void> done;
    wire::asio::post(this->context, [this, &function, &done] {
        function(this->state);
        done.set_value();
    });
    done.get_future().wait();
}

void decision_controller::drain() {
    // Progress first: it frees slots that arrivals can then be assigned.
    const std::vector<decision::event> reports = this->progress.drain();
    for (const decision::event& event : reports)
        this->apply(event);
    for (const decision::event& event : this->arrivals.drain())
        if (!is_disconnected(event, reports))
            this->apply(event);
    this->flush_overflow();
    if (decision::queued_requests(this->state) > 0 &&
        this->ticker.expiry() > this->clock->now() + busy_tick_interval)
        this->schedule_tick();
}

void decision_controller::apply(const decision::event& event) {
    decision::effects effects = decision::step(this->state, event, this->clock->now());
    this->deliver(effects);
}

void decision_controller::deliver(decision::effects& effects) {
    for (decision::effect& effect : effects) {
        const std::size_t worker = worker_of(id_of(effect), this->options.workers);
        if (!this->overflow.empty() || !this->effect_rings[worker]->try_push(effect))
            this->overflow.push_back(std::move(effect));
    }
}

void decision_controller::flush_overflow() {
    while (!this->overflow.empty()) {
        const std::size_t worker = worker_of(id_of(this->overflow.front()), this->options.workers);
        if (!this->effect_rings[worker]->try_push(this->overflow.front()))
            return;
        this->overflow.pop_front();
    }
}

void decision_controller::schedule_tick() {
    const bool is_busy = decision::queued_requests(this->state) > 0 || !this->overflow.empty();
    this->ticker.expires_after(is_busy ? busy_tick_interval : idle_tick_interval);
    this->ticker.async_wait([this](const wire::error_code& error) {
        if (error)
            return;
        this->apply(decision::tick{});
        this->flush_overflow();
        this->schedule_tick();
    });
}

} // namespace postpaddle::service
