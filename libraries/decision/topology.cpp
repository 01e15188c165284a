// SPDX-License-Identifier: BSD-2-Clause
#include <decision/topology.h>

namespace postpaddle::decision {

topology topology_of(const settings::settings_tree& tree) {
    topology value;
    for (const auto& [id, upstream] : tree.upstreams) {
        if (upstream.kind != settings::upstream_kind::engine)
            continue;
        value.engines[id] = {id,
                             upstream.availability_zone,
                             upstream.decode_slots,
                             upstream.prompt_tokens_per_second,
                             upstream.seconds_per_token,
                             upstream.is_leaving};
    }
    for (const auto& [name, deployment] : tree.deployments)
        value.deployments[name] = {name, deployment.prefill_pool, deployment.decode_pool,
                                   deployment.kv_bytes_per_token,
                                   base::from_seconds(deployment.kv_retention_seconds)};
    for (const settings::link_settings& link : tree.links)
        value.links[{link.from, link.to}] = {link.bytes_per_second, base::from_seconds(link.latency_seconds)};
    return value;
}

link_facts link_between(const topology& value, const base::zone_id& from, const base::zone_id& to) {
    const auto found = value.links.find({from, to});
    if (found != value.links.end())
        return found->second;
    const settings::link_settings standard;
    return {standard.bytes_per_second, base::from_seconds(standard.latency_seconds)};
}

} // namespace postpaddle::decision
