#include <parsleyshift/routing/run_durations.hpp> // run_durations

#include <algorithm> // none_of

namespace parsleyshift
{
namespace
{

constexpr double expected_quantile = 0.9;
constexpr std::size_t window_size = 256;
constexpr std::size_t min_samples = 8;

} // namespace

void run_durations::record(const std::string& route_name, duration took)
{
    by_route_.try_emplace(route_name, expected_quantile, window_size).first->second.add(took);
}

std::optional<duration> run_durations::expected(const std::string& route_name) const
{
    const auto found = by_route_.find(route_name);
    return found == by_route_.end() ? std::nullopt : found->second.value(min_samples);
}

void run_durations::retain(const std::vector<route>& routes)
{
    std::erase_if(by_route_,
                  [&routes](const auto& entry)
                  {
                      return std::none_of(routes.begin(), routes.end(),
                                          [&entry](const route& each) { return each.name == entry.first; });
                  });
}

} // namespace parsleyshift
