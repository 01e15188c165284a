// SPDX-License-Identifier: BSD-2-Clause
#include <settings/organisation_policy.h>

#include <boost/algorithm/string.hpp>

#include <algorithm>

namespace postpaddle::settings {

namespace {

/// Converts effective values, which the parser of the settings tree has already validated.
class value_reader {
public:
    explicit value_reader(const effective_values& values) : values(&values) {}

    [[nodiscard]] std::string text(const std::string& path, const std::string& default_value = "0") const {
        const auto found = this->values->find(path);
        return found == this->values->end() ? default_value : found->second.text;
    }
    [[nodiscard]] double number(const std::string& path, const std::string& default_value = "0") const {
        return std::stod(this->text(path, default_value));
    }
    [[nodiscard]] int integer(const std::string& path) const { return std::stoi(this->text(path)); }
    [[nodiscard]] base::duration milliseconds(const std::string& path,
                                              const std::string& default_value = "0") const {
        static constexpr double thousand = 1000;
        return base::from_seconds(this->number(path, default_value) / thousand);
    }

private:
    const effective_values* values;
};

route_settings read_route(const value_reader& reader, const std::string& name) {
    const std::string path = "routes." + name;
    route_settings route;
    route.name = name;
    route.prefix = reader.text(path + ".prefix");
    std::vector<std::string> names;
    const std::string joined = reader.text(path + ".upstreams");
    boost::split(names, joined, boost::is_any_of(","));
    for (std::string& upstream : names)
        route.upstreams.push_back({std::move(upstream)});
    route.repeats = reader.text(path + ".repeatable", "true") == "true" ? repeatability::repeatable
                                                                        : repeatability::not_repeatable;
    route.timeout = reader.milliseconds(path + ".timeout_ms", "5000");
    return route;
}

limit_settings read_limits(const value_reader& reader) {
    limit_settings limits;
    limits.requests_per_second = reader.number("limits.requests_per_second");
    limits.concurrent_requests = reader.integer("limits.concurrent_requests");
    limits.prompt_tokens_per_second = reader.number("limits.prompt_tokens_per_second");
    limits.max_prompt_tokens = reader.integer("limits.max_prompt_tokens");
    limits.max_output_tokens = reader.integer("limits.max_output_tokens");
    limits.max_queue_time = reader.milliseconds("limits.queue_ms");
    return limits;
}

} // namespace

organisation_policy policy_of(const settings_tree& tree, const base::organisation_id& path) {
    static const std::string models_prefix = "models.";
    static const std::string routes_prefix = "routes.";
    static const std::string route_suffix = ".prefix";
    const effective_values values = effective_values_of(tree, path);
    const value_reader reader(values);
    organisation_policy policy;
    policy.id = path;
    policy.priority = reader.integer("priority");
    policy.weight = reader.number("weight");
    policy.waste_weight = reader.number("waste_weight");
    policy.first_token_target = reader.milliseconds("targets.first_token_ms");
    policy.per_token_target = reader.milliseconds("targets.per_token_ms");
    policy.limits = read_limits(reader);
    for (const auto& [field, value] : values) {
        if (field.starts_with(models_prefix))
            policy.deployments[{field.substr(models_prefix.size())}] = value.text;
        if (field.starts_with(routes_prefix) && field.ends_with(route_suffix))
            policy.routes.push_back(
                read_route(reader, field.substr(routes_prefix.size(),
                                                field.size() - routes_prefix.size() - route_suffix.size())));
    }
    std::ranges::sort(policy.routes, [](const route_settings& left, const route_settings& right) {
        return left.prefix.size() > right.prefix.size();
    });
    return policy;
}

} // namespace postpaddle::settings
