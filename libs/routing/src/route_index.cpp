#include <parsleyshift/routing/route_index.hpp> // route_index

#include <algorithm> // transform
#include <utility>   // move

namespace parsleyshift
{
namespace
{

std::string host_key(std::string_view host)
{
    const auto colon = host.rfind(':');
    std::string key{host.substr(0, colon)};
    std::transform(key.begin(), key.end(), key.begin(),
                   [](char letter)
                   { return letter >= 'A' && letter <= 'Z' ? static_cast<char>(letter + 32) : letter; });
    return key;
}

} // namespace

route_index::route_index(forwarding_configuration configuration) : configuration_(std::move(configuration))
{
    for (std::size_t at = 0; at < configuration_.routes.size(); ++at)
    {
        const route& each = configuration_.routes[at];
        by_host_[host_key(each.host)].try_emplace(each.path_prefix, at);
    }
    for (const customer_keys& customer : configuration_.customers)
    {
        for (const std::string& key : customer.keys)
        {
            by_key_.try_emplace(key, key_holder{customer.customer, customer.priority});
        }
    }
    for (std::size_t at = 0; at < configuration_.services.size(); ++at)
    {
        services_.try_emplace(configuration_.services[at].name, at);
    }
}

const route* route_index::find(std::string_view host, std::string_view path) const
{
    const auto routes = by_host_.find(host_key(host));
    if (routes == by_host_.end())
    {
        return nullptr;
    }
    // Prefixes end with a slash, so only the parts of the path up to one of its slashes can be a prefix.
    for (auto slash = path.rfind('/'); slash != std::string_view::npos; slash = path.rfind('/', slash - 1))
    {
        const auto found = routes->second.find(std::string{path.substr(0, slash + 1)});
        if (found != routes->second.end())
        {
            return &configuration_.routes[found->second];
        }
        if (slash == 0)
        {
            break;
        }
    }
    return nullptr;
}

const key_holder* route_index::holder_of(const std::string& key) const
{
    const auto found = by_key_.find(key);
    return found == by_key_.end() ? nullptr : &found->second;
}

const route_target* route_index::draw(const route& from, random_source& random)
{
    double total = 0.0;
    for (const route_target& target : from.targets)
    {
        total += target.weight;
    }
    double drawn = random.fraction() * total;
    for (const route_target& target : from.targets)
    {
        drawn -= target.weight;
        if (drawn < 0.0)
        {
            return &target;
        }
    }
    return from.targets.empty() ? nullptr : &from.targets.back();
}

const forwarding_service* route_index::service(const service_id& name) const
{
    const auto found = services_.find(name);
    return found == services_.end() ? nullptr : &configuration_.services[found->second];
}

} // namespace parsleyshift
