// SPDX-License-Identifier: BSD-2-Clause
#include <soak/fault_runner.h>

#include <soak/checkers.h>
#include <soak/settings_document.h>
#include <support/process_state.h>
#include <support/test_cluster.h>
#include <support/untrusted_clients.h>

#include <algorithm>
#include <array>
#include <csignal>
#include <fstream>
#include <stdexcept>
#include <unistd.h>

namespace postpaddle::soak {

namespace {

using base::boot_clock;
using nlohmann::json;

constexpr milliseconds poll_interval(20);
constexpr milliseconds readiness_timeout(200);
/// After a server has announced leaving, until its process ends; longer than the bound for new requests.
constexpr milliseconds leaving_time(5'000);
/// The same for an engine that a release replaces: short, so that streams outlast their version.
constexpr milliseconds replaced_leaving_time(2'500);
/// From the registration of a release's engine until its predecessor leaves.
constexpr milliseconds release_overlap(400);
/// Between two steps of a slow release.
constexpr milliseconds release_step(700);
/// How long a fault of new streams stays set.
constexpr milliseconds stream_fault_time(2'000);
/// Time of a step of a server without faults.
constexpr int usual_work_ms = 10;
/// Time of an event in releases: streams last for seconds, so that many are cut by a loss of all hosts.
constexpr int versioned_event_ms = 25;
/// From SIGTERM until the platform kills the process.
constexpr milliseconds grace_time = promised_bounds{}.grace;
/// For the hosts to become ready after the last fault.
constexpr milliseconds recovery_limit(30'000);

} // namespace

test::server_plan make_server_plan(int place, int start, int version) {
    const server_place& row = server_places().at(static_cast<std::size_t>(place));
    test::server_plan plan;
    plan.id = std::string(row.name) + "-" + std::to_string(start);
    plan.service = row.service;
    plan.stage = row.stage;
    plan.event_ms = usual_work_ms;
    plan.names_requests = true;
    if (version > 0) {
        plan.software_version = "v" + std::to_string(version);
        plan.event_ms = versioned_event_ms;
    }
    return plan;
}

int first_version(const fault_plan& plan, int place) {
    const auto half = half_of_engines(place);
    if (!has_software_versions(plan.mix) || !half)
        return 0;
    return plan.has_two_versions ? 1 + *half : 1;
}

json make_endless_control(fault_mix mix, int place, int draw) {
    static constexpr int most_answers = 8;
    static constexpr std::size_t bytes_of_large_part = 16'384;
    // One event that never ends, events without content, comments, and an event that the stream has had.
    static constexpr std::array texts = {"x", "\n\n", ": comment\n\n", "id: 1\ndata: again\n\n"};
    // As fast as they are read, or so slowly that no bound on their size is reached.
    static constexpr std::array pauses_ms = {0, 50};
    const auto take = [&draw](int choices) {
        const int chosen = draw % choices;
        draw /= choices;
        return static_cast<std::size_t>(chosen);
    };
    const bool is_engine = *server_places().at(static_cast<std::size_t>(place)).stage != '\0';
    const std::array controls = {"endless", is_engine ? "endless_calls" : "endless_foreign"};
    const char* const control = controls.at(take(controls.size()));
    const char* const text = texts.at(take(texts.size()));
    const int pause_ms = pauses_ms.at(take(pauses_ms.size()));
    // As much as many connections take at once.
    if (is_about_memory(mix))
        return {{control, most_answers * (1 + take(most_answers))},
                {"endless_text", std::string(bytes_of_large_part, 'x')},
                {"endless_pause_ms", pause_ms}};
    return {{control, 1 + take(most_answers)}, {"endless_text", text}, {"endless_pause_ms", pause_ms}};
}

std::string fault_runner::run_log_path(const std::string& folder, const std::string& server) {
    return folder + "/" + server + ".runs";
}

fault_runner::fault_runner(test::gateway_cluster& cluster, const fault_plan& plan, settings_journal& journal)
    : cluster(&cluster), plan(&plan), journal(&journal), started_at(boot_clock::now()) {
    for (int place = 0; place < static_cast<int>(server_places().size()); ++place) {
        const int version = first_version(plan, place);
        const test::server_plan server = make_server_plan(place, 1, version);
        this->server_ids.push_back(server.id);
        this->starts_of_place.push_back(1);
        this->version_of_place.push_back(version);
        this->newest_version = std::max(this->newest_version, version);
        this->note_engine_start(place, server);
    }
    for (int host = 1; host <= plan.options.hosts; ++host) {
        this->peak_memory_bytes.push_back(0);
        this->hosts[host].has_been_ready = true;
        this->read_log(host);
    }
}

fault_runner::~fault_runner() {
    for (auto& [host, state] : this->hosts) {
        if (state.is_up) {
            this->cluster->host(host).send_signal(SIGKILL);
            (void)this->cluster->host(host).wait();
        }
        if (state.log_reader.joinable())
            state.log_reader.join();
    }
}

void fault_runner::read_log(int host) {
    stand_in::child_process& process = this->cluster->host(host);
    const std::string path = this->cluster->log_folder() + "/host-" + std::to_string(host) + ".out";
    this->hosts[host].log_reader = std::jthread([&process, path] {
        std::ofstream log(path, std::ios::app);
        for (std::string line = process.read_line(); !line.empty(); line = process.read_line())
            log << line << std::endl;
    });
}

void fault_runner::publish_first_settings() {
    this->publish(static_cast<int>(this->plan->options.seed));
    for (int host = 1; host <= this->plan->options.hosts; ++host)
        if (!test::eventually(
                [&] { return test::settings_version_at(*this->cluster, host) == this->journal->newest(); }))
            throw std::runtime_error("the first settings are not in force on host " + std::to_string(host));
}

void fault_runner::publish(int draw) {
    // The cluster itself has published version 1.
    const int version = std::max(2, this->journal->newest() + 1);
    settings_draw settings = make_settings(version, draw);
    settings.facts.sent_at = boot_clock::now();
    this->journal->add(settings.facts);
    this->cluster->publish_document(settings.document);
    this->journal->acknowledge(boot_clock::now());
}

void fault_runner::schedule(time_point at, std::function<void()> action) {
    this->actions.emplace(at, std::move(action));
}

void fault_runner::run(const std::atomic<bool>& is_interrupted) {
    this->started_at = boot_clock::now();
    for (const planned_fault& fault : this->plan->faults)
        this->schedule(this->started_at + fault.at, [this, &fault] { this->carry_out(fault); });
    time_point last_action_at = this->started_at;
    const auto is_over = [this] {
        return this->actions.empty() && std::ranges::all_of(this->hosts, [](const auto& row) {
                   const host_state& state = row.second;
                   return state.is_up && !state.is_starting && !state.is_stopping && !state.is_killed;
               });
    };
    while (!is_over() && !is_interrupted && boot_clock::now() < last_action_at + recovery_limit) {
        while (!this->actions.empty() && this->actions.begin()->first <= boot_clock::now()) {
            const auto action = std::move(this->actions.begin()->second);
            this->actions.erase(this->actions.begin());
            action();
            last_action_at = boot_clock::now();
        }
        this->poll();
        std::this_thread::sleep_for(poll_interval);
    }
    this->write_log("the faults are over");
}

void fault_runner::watch_until(const std::function<bool()>& condition) {
    const time_point limit = boot_clock::now() + recovery_limit;
    while (!condition() && boot_clock::now() < limit) {
        this->poll();
        std::this_thread::sleep_for(poll_interval);
    }
}

void fault_runner::carry_out(const planned_fault& fault) {
    std::string text = to_text(fault.kind);
    text += " of " + std::to_string(fault.target) + ", " + std::to_string(fault.lasts.count()) +
            " ms, amount " + std::to_string(fault.amount);
    this->write_log(text);
    switch (fault.kind) {
    case fault_kind::host_stop:
    case fault_kind::host_reload:
    case fault_kind::host_kill:
    case fault_kind::host_freeze:
        this->carry_out_at_host(fault);
        break;
    case fault_kind::hosts_all_kill:
        this->carry_out_loss_of_all(fault);
        break;
    case fault_kind::engines_release:
        this->carry_out_release(fault);
        break;
    case fault_kind::settings_change:
        this->publish(fault.amount);
        break;
    case fault_kind::store_slow:
    case fault_kind::store_down:
    case fault_kind::store_lose:
        this->carry_out_at_store(fault);
        break;
    case fault_kind::links_fail:
    case fault_kind::answers_cut:
        this->carry_out_at_links(fault);
        break;
    case fault_kind::hosts_turned_away:
        this->turn_hosts_away(fault);
        break;
    case fault_kind::store_forget:
        this->forget_history(fault);
        break;
    case fault_kind::odd_entry:
        this->write_odd_entry(fault.amount);
        break;
    case fault_kind::client_crowd:
        this->send_crowd(fault);
        break;
    case fault_kind::engines_close:
        for (int place = 0; place < static_cast<int>(server_places().size()); ++place)
            if (half_of_engines(place))
                this->close_requests(this->server_ids.at(static_cast<std::size_t>(place)), fault);
        break;
    default:
        this->carry_out_at_server(fault);
        break;
    }
}

void fault_runner::send_crowd(const planned_fault& fault) {
    const auto kinds = test::make_untrusted_clients();
    const test::named_crowd& chosen = kinds.at(static_cast<std::size_t>(fault.amount) % kinds.size());
    this->write_log("clients of " + std::to_string(fault.target) + " that keep no limit: " + chosen.name);
    this->crowds.emplace_back(
        [plan = chosen.plan, address = this->cluster->callers_address(fault.target), lasts = fault.lasts] {
            const auto end = boot_clock::now() + lasts;
            test::crowd clients(address, plan);
            clients.send_all(lasts);
            std::this_thread::sleep_for(end - boot_clock::now());
        });
}

void fault_runner::carry_out_at_host(const planned_fault& fault) {
    const int host = fault.target;
    host_state& state = this->hosts.at(host);
    if (!state.is_up || state.is_killed || (state.is_stopping && fault.kind != fault_kind::host_reload))
        return; // A stop took longer than the plan assumed.
    stand_in::child_process& process = this->cluster->host(host);
    state.restart_after = fault.lasts;
    switch (fault.kind) {
    case fault_kind::host_reload:
        process.send_signal(SIGHUP);
        break;
    case fault_kind::host_stop:
        if (state.is_starting)
            this->close_incident(state.open_incident);
        state.is_starting = false;
        state.is_stopping = true;
        state.open_incident = this->open_incident({incident_kind::host_stopping, host});
        process.send_signal(SIGTERM);
        this->schedule(boot_clock::now() + grace_time, [this, host, stop = state.open_incident] {
            // The platform kills what has not ended; the exit is then reported.
            if (this->hosts.at(host).is_stopping && this->hosts.at(host).open_incident == stop)
                this->cluster->host(host).send_signal(SIGKILL);
        });
        break;
    case fault_kind::host_kill:
        this->kill_host(host, fault.lasts);
        break;
    default: {
        const std::size_t frozen = this->open_incident({incident_kind::host_frozen, host});
        process.send_signal(SIGSTOP);
        this->schedule(boot_clock::now() + fault.lasts, [this, host, frozen] {
            this->cluster->host(host).send_signal(SIGCONT);
            this->close_incident(frozen);
        });
    }
    }
}

void fault_runner::kill_host(int host, milliseconds restart_after) {
    host_state& state = this->hosts.at(host);
    if (state.is_starting || state.is_stopping)
        this->close_incident(state.open_incident);
    state.is_starting = false;
    state.is_killed = true;
    state.restart_after = restart_after;
    state.open_incident = this->open_incident({incident_kind::host_lost, host});
    this->cluster->host(host).send_signal(SIGKILL);
}

void fault_runner::carry_out_at_links(const planned_fault& fault) {
    using test::link_fault;
    static constexpr std::array kinds = {link_fault::hang, link_fault::reset, link_fault::hang_new,
                                         link_fault::refuse_new};
    const int host = fault.target;
    const auto& servers = this->server_ids;
    const std::size_t failing = this->open_incident({incident_kind::links_failing, host});
    if (fault.kind == fault_kind::answers_cut) {
        this->cluster->cut_answers(host, fault.amount, servers);
    } else {
        const auto kind = static_cast<std::size_t>(fault.amount) % kinds.size();
        // Either all servers, or those at every other place.
        std::vector<std::string> cut_off = servers;
        if (static_cast<std::size_t>(fault.amount) / kinds.size() % 2 == 1)
            std::erase_if(cut_off, [&](const std::string& id) {
                return (std::ranges::find(servers, id) - servers.begin()) % 2 == 1;
            });
        this->cluster->set_links(host, kinds.at(kind), cut_off);
    }
    this->schedule(boot_clock::now() + fault.lasts, [this, host, failing] {
        this->cluster->set_links(host, test::link_fault::none);
        this->close_incident(failing);
    });
}

void fault_runner::carry_out_loss_of_all(const planned_fault& fault) {
    // A host that is away already comes back as it would have, after this loss.
    for (const auto& [host, state] : this->hosts)
        if (state.is_up && !state.is_killed)
            this->kill_host(host, fault.lasts);
    this->losses_of_all_hosts.push_back(boot_clock::now());
}

void fault_runner::carry_out_release(const planned_fault& fault) {
    const auto course = static_cast<release_course>(fault.amount);
    const int version = ++this->newest_version;
    time_point at = boot_clock::now();
    for (int place = 0; place < static_cast<int>(server_places().size()); ++place) {
        const auto half = half_of_engines(place);
        if (!half || (course == release_course::partial && *half != version % 2))
            continue;
        this->schedule(at, [this, place, version] { this->replace_engine(place, version); });
        if (course == release_course::slow)
            at += release_step;
    }
}

void fault_runner::replace_engine(int place, int version) {
    const auto index = static_cast<std::size_t>(place);
    // A later release may have overtaken a slow one.
    if (this->version_of_place.at(index) >= version)
        return;
    // Engines without a version are not replaced.
    if (this->version_of_place.at(index) == 0)
        return;
    const std::string replaced = this->server_ids.at(index);
    this->version_of_place.at(index) = version;
    this->start_server(place);
    const auto find_start = [this](const std::string& id) {
        return std::ranges::find(this->engine_starts, id, &engine_start::server);
    };
    const time_point leaves_at = boot_clock::now() + release_overlap;
    this->schedule(leaves_at, [this, replaced, find_start] {
        find_start(replaced)->left_at = boot_clock::now();
        this->cluster->register_server(replaced, "draining", 2);
        this->departures.push_back({replaced, boot_clock::now()});
    });
    this->schedule(leaves_at + replaced_leaving_time, [this, replaced, find_start] {
        find_start(replaced)->ended_at = boot_clock::now();
        (void)this->open_incident({incident_kind::server_ended, 0, replaced});
        this->cluster->kill_server_and_links(replaced);
        this->cluster->drop_server(replaced);
        this->write_log("ended " + replaced);
    });
}

void fault_runner::note_engine_start(int place, const test::server_plan& plan) {
    if (plan.software_version.empty())
        return;
    const std::string stage = server_places().at(static_cast<std::size_t>(place)).stage;
    this->engine_starts.push_back({.server = plan.id,
                                   .version = plan.software_version,
                                   .is_decode = stage == "decode",
                                   .registered_at = boot_clock::now()});
}

void fault_runner::carry_out_at_server(const planned_fault& fault) {
    const std::string id = this->server_ids.at(static_cast<std::size_t>(fault.target));
    const auto set = [this, id](const json& control) { (void)this->cluster->server(id, control); };
    switch (fault.kind) {
    case fault_kind::server_silence:
        set({{"silent_ms", fault.lasts.count()}});
        break;
    case fault_kind::stream_silence:
        set({{"silences", fault.amount},
             {"silence_ms", fault.lasts.count()},
             {"silence_before_event", 1 + fault.amount % 5}});
        break;
    case fault_kind::server_close:
        this->close_requests(id, fault);
        break;
    case fault_kind::server_refuse:
        set({{"refuse", fault.amount}});
        break;
    case fault_kind::server_late:
        set({{"work_ms", fault.amount}});
        this->schedule(boot_clock::now() + fault.lasts, [set] { set({{"work_ms", usual_work_ms}}); });
        break;
    case fault_kind::server_double:
        set({{"surplus", fault.amount}});
        break;
    case fault_kind::server_copy:
        set({{"late_copies", fault.amount}});
        break;
    case fault_kind::server_break:
        set({{"break_after", 2}, {"breaks", fault.amount}});
        break;
    case fault_kind::server_restart:
        this->restart_server(id, fault.amount);
        break;
    case fault_kind::server_lose:
        set({{"lose_answer", fault.amount}});
        break;
    case fault_kind::server_endless: {
        const json control = make_endless_control(this->plan->mix, fault.target, fault.amount);
        this->write_log(id + ": " + control.dump());
        set(control);
        this->schedule(boot_clock::now() + fault.lasts, [set] {
            set({{"endless", 0}, {"endless_foreign", 0}, {"endless_calls", 0}});
        });
        break;
    }
    default:
        this->end_server(fault, id);
        break;
    }
}

void fault_runner::close_requests(const std::string& id, const planned_fault& fault) {
    static constexpr double hundred = 100;
    const auto set = [this, id](double fraction) {
        (void)this->cluster->server(id, {{"closed_fraction", fraction}});
    };
    set(fault.amount / hundred);
    this->schedule(boot_clock::now() + fault.lasts, [set] { set(0); });
}

void fault_runner::end_server(const planned_fault& fault, const std::string& id) {
    const int place = fault.target;
    const auto kill_now = [this, id] {
        (void)this->open_incident({incident_kind::server_ended, 0, id});
        this->cluster->kill_server_and_links(id);
        const auto start = std::ranges::find(this->engine_starts, id, &engine_start::server);
        if (start == this->engine_starts.end())
            return;
        start->ended_at = boot_clock::now();
        start->left_at = std::min(start->left_at, start->ended_at);
    };
    time_point ended_at = boot_clock::now();
    if (fault.kind == fault_kind::server_kill) {
        kill_now();
        // Its entry lapses some heartbeats later.
        this->schedule(ended_at + milliseconds(1'000), [this, id] { this->cluster->drop_server(id); });
    } else {
        if (fault.kind == fault_kind::server_leave)
            this->cluster->register_server(id, "draining", 2, this->start_times[id]);
        else
            this->cluster->drop_server(id);
        this->departures.push_back({id, boot_clock::now()});
        ended_at += leaving_time;
        this->schedule(ended_at, [this, id, kill_now] {
            kill_now();
            this->cluster->drop_server(id);
        });
    }
    this->schedule(ended_at + fault.lasts, [this, place] { this->start_server(place); });
}

void fault_runner::start_server(int place) {
    const auto index = static_cast<std::size_t>(place);
    test::server_plan server =
        make_server_plan(place, ++this->starts_of_place.at(index), this->version_of_place.at(index));
    server.run_log = run_log_path(this->cluster->log_folder(), server.id);
    this->server_ids.at(index) = server.id;
    this->cluster->add_server(server);
    this->note_engine_start(place, server);
    this->write_log("started " + server.id +
                    (server.software_version.empty() ? "" : " of version " + server.software_version));
}

void fault_runner::carry_out_at_store(const planned_fault& fault) {
    static constexpr std::array modes = {"busy", "reset", "silent"};
    const std::size_t disturbed = this->open_incident({incident_kind::store_disturbed});
    json end = json::object();
    milliseconds lasts = fault.lasts;
    switch (fault.kind) {
    case fault_kind::store_slow:
        (void)this->cluster->store({{"slow_ms", fault.amount}});
        end = {{"slow_ms", 0}};
        break;
    case fault_kind::store_down:
        (void)this->cluster->store({{"mode", modes.at(static_cast<std::size_t>(fault.amount))}});
        end = {{"mode", ""}};
        break;
    default:
        (void)this->cluster->store({{"lose_answers", fault.amount}});
        lasts = stream_fault_time;
        end = {{"lose_answers", 0}};
    }
    const std::size_t away =
        fault.kind == fault_kind::store_down ? this->open_incident({incident_kind::store_away}) : disturbed;
    this->schedule(boot_clock::now() + lasts, [this, end, disturbed, away] {
        (void)this->cluster->store(end);
        this->close_incident(disturbed);
        this->close_incident(away);
    });
}

void fault_runner::turn_hosts_away(const planned_fault& fault) {
    static constexpr std::array modes = {"busy", "reset", "silent"};
    const int hosts = this->plan->options.hosts;
    // At least one host is served.
    const int count = 1 + fault.amount / static_cast<int>(modes.size()) % (hosts - 1);
    json addresses = json::array();
    std::vector<std::size_t> incidents;
    for (int number = 0; number < count; ++number) {
        const int host = 1 + (fault.target - 1 + number) % hosts;
        addresses.push_back(this->cluster->host_ip(host));
        incidents.push_back(this->open_incident({incident_kind::store_turns_away, host}));
    }
    const auto mode = static_cast<std::size_t>(fault.amount) % modes.size();
    (void)this->cluster->store({{"mode", modes.at(mode)}, {"turned_away", addresses}});
    this->schedule(boot_clock::now() + fault.lasts, [this, incidents] {
        (void)this->cluster->store({{"mode", ""}, {"turned_away", json::array()}});
        for (const std::size_t incident : incidents)
            this->close_incident(incident);
    });
}

void fault_runner::forget_history(const planned_fault& fault) {
    static const std::vector<std::vector<std::string>> topics = {
        {test::server_topic},
        {test::operator_topic},
        {test::server_topic, test::operator_topic, "keyed.splits", "keyed.quarantine"}};
    int draw = fault.amount;
    const auto drawn_of = [&draw](int count) { return std::exchange(draw, draw / count) % count; };
    const auto& chosen = topics.at(static_cast<std::size_t>(drawn_of(static_cast<int>(topics.size()))));
    const bool is_twice = drawn_of(2) == 1;
    const bool is_listing_stale = drawn_of(3) == 1;
    if (is_listing_stale) {
        (void)this->cluster->store({{"stale_listings", true}});
        this->schedule(boot_clock::now() + fault.lasts, [this] {
            (void)this->cluster->store({{"stale_listings", false}});
        });
    }
    this->cluster->forget_history(chosen);
    // Before hosts have listed what is left.
    if (is_twice)
        this->cluster->forget_history(chosen);
}

void fault_runner::write_odd_entry(int draw) {
    static constexpr int depth = 100'000;
    const std::array texts = {std::string(depth, '['), std::string("{"),
                              std::string(R"({"service":"plain","address":"127.0.0.1:70000"})"),
                              std::string(R"({"slots":1e999})"), std::string(R"({"sequence":-1})")};
    // In place of the entry of a server that has left, or beside the others.
    const bool is_over_departed = draw % 2 == 0 && !this->departures.empty();
    const std::string id =
        is_over_departed ? this->departures.back().server : "odd-" + std::to_string(++this->odd_entries);
    this->cluster->register_text(id, texts.at(static_cast<std::size_t>(draw / 2) % texts.size()));
}

void fault_runner::restart_server(const std::string& id, int start_time_ms) {
    const bool has_left =
        std::ranges::find(this->departures, id, &departure::server) != this->departures.end();
    const bool has_ended = std::ranges::any_of(this->incidents, [&](const incident& row) {
        return row.kind == incident_kind::server_ended && row.server == id && row.to == time_point::max();
    });
    if (has_left || has_ended)
        return;
    const std::size_t ended = this->open_incident({incident_kind::server_ended, 0, id});
    this->start_times[id] = static_cast<std::uint64_t>(start_time_ms);
    this->cluster->restart_server(id, this->start_times[id]);
    this->close_incident(ended);
}

void fault_runner::start_host(int host) {
    this->cluster->start_host(host);
    this->read_log(host);
    host_state& state = this->hosts.at(host);
    state.is_up = true;
    state.is_starting = true;
    state.open_incident = this->open_incident({incident_kind::host_starting, host});
    this->write_log("started host " + std::to_string(host));
}

void fault_runner::did_exit(int host) {
    host_state& state = this->hosts.at(host);
    const int code = this->cluster->host(host).wait();
    state.log_reader.join();
    this->exits.push_back(
        {host, boot_clock::now(), code, state.is_stopping, state.is_killed, state.has_been_ready});
    this->write_log("host " + std::to_string(host) + " ended with " + std::to_string(code));
    if (!state.is_stopping && !state.is_killed)
        state.open_incident = this->open_incident({incident_kind::host_lost, host});
    // A host that ended by itself starts again too, so that the run goes on.
    const std::size_t ended = state.open_incident;
    const milliseconds restart_after = state.restart_after;
    state = {};
    state.is_up = false;
    this->schedule(boot_clock::now() + restart_after, [this, host, ended] {
        this->close_incident(ended);
        this->start_host(host);
    });
}

void fault_runner::poll() {
    for (auto& [host, state] : this->hosts) {
        if (!state.is_up)
            continue;
        const pid_t pid = this->cluster->host(host).id();
        if (test::has_ended(pid)) {
            this->did_exit(host);
            continue;
        }
        auto& peak = this->peak_memory_bytes.at(static_cast<std::size_t>(host) - 1);
        peak = std::max(peak, stand_in::read_process_usage(pid).resident_bytes);
        if (state.is_starting && this->cluster->is_ready(host, readiness_timeout)) {
            state.is_starting = false;
            state.has_been_ready = true;
            this->close_incident(state.open_incident);
        }
    }
}

std::size_t fault_runner::open_incident(incident row) {
    row.from = boot_clock::now();
    this->incidents.push_back(std::move(row));
    return this->incidents.size() - 1;
}

void fault_runner::close_incident(std::size_t index) { this->incidents.at(index).to = boot_clock::now(); }

void fault_runner::write_log(const std::string& text) {
    const auto at = std::chrono::duration_cast<milliseconds>(boot_clock::now() - this->started_at);
    this->log_lines.push_back(std::to_string(at.count()) + " ms: " + text);
}

void fault_runner::add_to(observations& seen) const {
    seen.incidents = this->incidents;
    seen.departures = this->departures;
    seen.exits = this->exits;
    seen.engine_starts = this->engine_starts;
    seen.losses_of_all_hosts = this->losses_of_all_hosts;
    seen.peak_memory_bytes = this->peak_memory_bytes;
    seen.versions = this->journal->versions();
}

} // namespace postpaddle::soak
