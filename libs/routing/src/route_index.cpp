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
    for (std::size_t index = 0; index < configuration_.routes.size(); ++index)
    {
        const route& entry = configuration_.routes[index];
        by_host_[host_key(entry.host)].try_emplace(entry.path_prefix, index);
    }
    if (configuration_.customers)
    {
        for (const customer_keys& customer : *configuration_.customers)
        {
            for (const std::string& key : customer.keys)
            {
                by_key_.try_emplace(key, key_holder{customer.customer, customer.priority, customer.regions});
            }
        }
    }
    for (std::size_t index = 0; index < configuration_.services.size(); ++index)
    {
        services_.try_emplace(configuration_.services[index].name, index);
    }
}

const route* route_index::find(std::string_view host, std::string_view path) const
{
    const auto routes = by_host_.find(host_key(host));
    if (routes == by_host_.end())
    {
        return nullptr;
    }
    // Prefixes end with a slash, so only the parts of the path that end at one of its slashes can match.
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
    double remaining = random.fraction() * total;
    for (const route_target& target : from.targets)
    {
        remaining -= target.weight;
        if (remaining < 0.0)
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
