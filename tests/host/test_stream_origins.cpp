// SPDX-License-Identifier: BSD-2-Clause
#include <host/replica_ring.h>
#include <host/stream_origins.h>
#include <support/peer_directories.h>

#include <catch2/catch.hpp>

#include <algorithm>
#include <map>
#include <random>
#include <set>
#include <vector>

using namespace postpaddle;
using namespace std::chrono_literals;
using host::stream_origin;

namespace {

const base::time_point start{1h};
constexpr std::size_t replicas_told = 3;
const stream_origin first_origin = {.service = "engines", .software_version = "v1"};
const stream_origin second_origin = {.service = "engines", .software_version = "v2"};

host::stream_key make_key(const std::string& id, const std::string& organisation = "studio") {
    return host::key_of_stream({.organisation = {organisation}, .host = "a.example", .request_id = id});
}

/// Hosts with their records, over links that lose messages. Each host may have a view of its own.
class record_model {
public:
    record_model(int hosts, std::uint64_t seed) : names(test::make_hosts(hosts)), random(seed) {
        this->directory = test::make_directory(this->names, 4, start);
        for (const base::host_id& name : this->names)
            this->tables[name];
    }

    /// A stream begins at a random host; messages are lost with that probability.
    void begin(const std::string& id, const stream_origin& origin, double loss) {
        const base::host_id first = this->any_host();
        const auto key = make_key(id);
        this->tables.at(first).record(key, origin, start + 1min);
        for (const base::host_id& replica :
             host::choose_replicas(host::make_replica_ring(this->directory, first), this->view_of(first),
                                   this->query(key), replicas_told))
            if (!this->happens(loss))
                this->tables.at(replica).record(key, origin, start + 1min);
    }

    /// Kills hosts, which lose all records; every second one is back at once.
    void kill(int number) {
        for (int count = 0; count < number; ++count) {
            const base::host_id victim = this->any_host();
            this->tables.at(victim) = {};
            if (count % 2 == 0 && this->dead.size() + 2 < this->names.size())
                this->dead.insert(victim);
        }
    }

    /// What a random living host finds out about the stream.
    std::optional<stream_origin> resume(const std::string& id, double loss) {
        const base::host_id host = this->any_host();
        const auto key = make_key(id);
        if (auto known = this->tables.at(host).find(key, start))
            return known;
        for (const base::host_id& asked : host::hosts_to_ask(host::make_replica_ring(this->directory, host),
                                                             this->view_of(host), this->query(key)))
            if (!this->dead.contains(asked) && !this->happens(loss))
                if (auto told = this->tables.at(asked).find(key, start))
                    return told;
        return std::nullopt;
    }

private:
    bool happens(double probability) {
        return std::uniform_real_distribution<double>(0, 1)(this->random) < probability;
    }

    base::host_id any_host() {
        while (true) {
            const base::host_id& host = this->names[this->random() % this->names.size()];
            if (!this->dead.contains(host))
                return host;
        }
    }

    /// Some hosts are not known everywhere.
    host::peer_directory view_of(const base::host_id& host) {
        host::peer_directory view = this->directory;
        view.by_name.erase(host);
        for (int missing = 0; missing < 2; ++missing)
            view.by_name.erase(this->names[this->random() % this->names.size()]);
        return view;
    }

    [[nodiscard]] static host::replica_query query(const host::stream_key& key) {
        return {.key = key.high ^ key.low, .now = start};
    }

    std::vector<base::host_id> names;
    host::peer_directory directory;
    std::map<base::host_id, host::stream_origins> tables;
    std::set<base::host_id> dead;
    std::mt19937_64 random;
};

} // namespace

// Guards against a stream being continued at another software version in any order of losses and deaths.
TEST_CASE("whatever messages and hosts are lost, a stream's origin is the right one or unknown") {
    for (std::uint64_t seed = 0; seed < 60; ++seed) {
        std::mt19937_64 random(seed);
        record_model model(2 + static_cast<int>(random() % 40), seed);
        std::map<std::string, stream_origin> begun;
        for (int step = 0; step < 200; ++step) {
            const double loss = static_cast<double>(random() % 10) / 10;
            const std::string id = "stream-" + std::to_string(random() % 80);
            if (random() % 3 == 0 && !begun.contains(id)) {
                begun[id] = random() % 2 == 0 ? first_origin : second_origin;
                model.begin(id, begun[id], loss);
            } else if (const auto found = model.resume(id, loss)) {
                REQUIRE(begun.contains(id));
                REQUIRE(*found == begun[id]);
            }
            if (random() % 50 == 0)
                model.kill(1);
        }
    }
}

// Guards against records that are lost with a third of the hosts.
TEST_CASE("after a third of a thousand hosts was killed most streams' origins are known") {
    static constexpr int hosts = 1'000;
    static constexpr int streams = 400;
    record_model model(hosts, 7);
    for (int stream = 0; stream < streams; ++stream)
        model.begin("stream-" + std::to_string(stream), first_origin, 0);
    model.kill(hosts / 3);
    int known = 0;
    for (int stream = 0; stream < streams; ++stream)
        known += model.resume("stream-" + std::to_string(stream), 0) ? 1 : 0;
    CHECK(known > streams * 9 / 10);
}

TEST_CASE("a stream's key is that of its own caller, and an id used for two streams makes it unknown") {
    CHECK(make_key("id") == make_key("id"));
    CHECK(make_key("id") != make_key("id", "other"));
    host::stream_origins origins;
    origins.record(make_key("id"), first_origin, start + 1s);
    origins.record(make_key("id"), first_origin, start + 2s);
    CHECK(origins.find(make_key("id"), start + 1s) == first_origin);
    CHECK_FALSE(origins.find(make_key("id"), start + 2s));
    origins.record(make_key("id"), second_origin, start + 2s);
    CHECK_FALSE(origins.find(make_key("id"), start));
    origins.remove_expired(start + 2s);
    CHECK(origins.size() == 0);
}

TEST_CASE("the number of stream records is bounded, and the oldest dropped first") {
    host::stream_origins origins;
    for (std::size_t number = 0; number <= host::stream_origins::max_records; ++number)
        origins.record({.high = number, .low = 0}, first_origin, start + 1min);
    CHECK(origins.size() == host::stream_origins::max_records);
    CHECK_FALSE(origins.find({.high = 0, .low = 0}, start));
    CHECK(origins.find({.high = 1, .low = 0}, start));
}
