// SPDX-License-Identifier: BSD-2-Clause
#include <host/membership.h>
#include <host/owner.h>
#include <host/rendezvous.h>

#include <catch2/catch.hpp>

#include <random>

namespace {

using namespace postpaddle;
using namespace postpaddle::host;
using namespace std::chrono_literals;

const base::time_point start{1h};

member make_member(const std::string& name, std::uint64_t incarnation = 100) {
    member entry;
    entry.name = {name};
    entry.peers_address = name + ":1";
    entry.incarnation = incarnation;
    return entry;
}

liveness life_of(const membership_state& state, const std::string& name) {
    return state.others.at({name}).entry.life;
}

} // namespace

TEST_CASE("a host that misses its probes becomes suspect, then failed, then is removed") {
    membership_state state = make_membership(make_member("a"), {});
    merge_member(state, make_member("b"), start);
    did_miss_probe(state, {"b"}, start);
    CHECK(life_of(state, "b") == liveness::suspect);
    CHECK(advance(state, start + 1s).empty());
    const auto failed = advance(state, start + 3s);
    REQUIRE(failed.size() == 1);
    CHECK(is_gone(state, {"b"}, 100));
    CHECK_FALSE(is_gone(state, {"b"}, 101));
    static_cast<void>(advance(state, start + 10min));
    CHECK(state.others.empty());
}

TEST_CASE("a suspect refutes the suspicion by raising its own version") {
    membership_state self = make_membership(make_member("b"), {});
    member accusation = make_member("b");
    accusation.life = liveness::suspect;
    merge_member(self, accusation, start);
    CHECK(self.self.version == accusation.version + 1);
    membership_state other = make_membership(make_member("a"), {});
    merge_member(other, make_member("b"), start);
    did_miss_probe(other, {"b"}, start);
    merge_member(other, self.self, start);
    CHECK(life_of(other, "b") == liveness::alive);
}

TEST_CASE("a new incarnation replaces the old one, whose entries are then ignored") {
    membership_state state = make_membership(make_member("a"), {});
    merge_member(state, make_member("b", 100), start);
    merge_member(state, make_member("b", 200), start);
    member old = make_member("b", 100);
    old.version = 99;
    old.is_draining = true;
    merge_member(state, old, start);
    CHECK_FALSE(state.others.at({"b"}).entry.is_draining);
    CHECK(is_gone(state, {"b"}, 100));
}

TEST_CASE("the platform's list adds hosts but overrides no entry") {
    membership_state state = make_membership(make_member("a"), {});
    member left = make_member("b");
    merge_member(state, left, start);
    left.life = liveness::left;
    merge_member(state, left, start);
    add_listed_member(state, {"b"}, "b:1", start);
    CHECK(life_of(state, "b") == liveness::left);
    add_listed_member(state, {"c"}, "c:1", start);
    CHECK(next_probe(state)->name.value == "c");
    CHECK(working_members(state).size() == 1); // Known only from the list: not a working member yet.
}

TEST_CASE("each round of probes covers every working host once") {
    membership_state state = make_membership(make_member("a"), {});
    for (int index = 0; index < 20; ++index)
        merge_member(state, make_member("h" + std::to_string(index)), start);
    std::map<std::string, int> met;
    for (int probe = 0; probe < 40; ++probe)
        ++met[next_probe(state)->name.value];
    for (const auto& [name, count] : met)
        CHECK(count == 2);
    CHECK(met.size() == 20);
}

TEST_CASE("a message carries a bounded number of entries, the sender's first") {
    membership_state state = make_membership(make_member("a"), {});
    for (int index = 0; index < 300; ++index)
        merge_member(state, make_member("h" + std::to_string(index)), start);
    const auto updates = updates_to_send(state, {});
    CHECK(updates.front().name.value == "a");
    CHECK(updates.size() == state.options.updates_per_message + 1);
}

// Messages are lost, hosts stop and restart, the network is partitioned and heals.
TEST_CASE("all hosts agree on the working members once faults end") {
    for (std::uint64_t seed = 1; seed <= 150; ++seed) {
        INFO("seed " << seed);
        std::mt19937_64 random(seed);
        constexpr int hosts = 8;
        std::vector<membership_state> views;
        for (int index = 0; index < hosts; ++index) {
            membership_options options;
            options.seed = seed * 100 + static_cast<std::uint64_t>(index);
            views.push_back(make_membership(make_member("h" + std::to_string(index), 1000), options));
        }
        for (auto& view : views)
            for (int index = 0; index < hosts; ++index)
                add_listed_member(view, {"h" + std::to_string(index)}, "x:1", start);
        base::time_point now = start;
        std::vector<bool> stopped(hosts, false);
        for (int round = 0; round < 260; ++round) {
            now += 100ms;
            const bool has_trouble = round < 160;
            const bool is_cut = has_trouble && round > 60 && round < 120;
            if (has_trouble && random() % 20 == 0)
                stopped[random() % hosts] = random() % 2 == 0;
            if (!has_trouble)
                stopped.assign(hosts, false);
            for (std::size_t from = 0; from < hosts; ++from) {
                if (stopped[from])
                    continue;
                const auto target = next_probe(views[from]);
                static_cast<void>(advance(views[from], now));
                if (!target)
                    continue;
                const auto to = static_cast<std::size_t>(target->name.value[1] - '0');
                const bool is_lost =
                    stopped[to] || (is_cut && (from < 4) != (to < 4)) || (has_trouble && random() % 10 == 0);
                if (is_lost) {
                    did_miss_probe(views[from], target->name, now);
                    continue;
                }
                for (const member& entry : updates_to_send(views[from], target->name))
                    merge_member(views[to], entry, now);
                for (const member& entry : updates_to_send(views[to], views[from].self.name))
                    merge_member(views[from], entry, now);
            }
        }
        for (const auto& view : views)
            CHECK(working_members(view).size() == hosts);
    }
}

TEST_CASE("rendezvous owners change only when the owning host is removed") {
    std::vector<member> all;
    all.reserve(6);
    for (int index = 0; index < 6; ++index)
        all.push_back(make_member("h" + std::to_string(index)));
    std::vector<member> fewer = all;
    fewer.erase(fewer.begin() + 2);
    int moved = 0;
    for (int key = 0; key < 600; ++key) {
        const std::string name = "upstream:" + std::to_string(key);
        const auto before = rendezvous_owner(all, name);
        const auto after = rendezvous_owner(fewer, name);
        if (before->name != after->name) {
            ++moved;
            CHECK(before->name.value == "h2");
        }
    }
    CHECK(moved > 50);
    CHECK(moved < 160);
    CHECK_FALSE(rendezvous_owner({}, "x"));
}

TEST_CASE("request and attempt ids identify their owner") {
    const owner who{{"host-1"}, 0x1234};
    const auto id = make_request_id(who, 255);
    CHECK(id.value == "host-1.1234.ff");
    CHECK(owner_of(make_attempt_id(id, 2)) == who);
    CHECK_FALSE(owner_of("cmpl-7"));
    CHECK_FALSE(owner_of("a.zz.1"));
}
