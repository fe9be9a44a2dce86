#include <parsleyshift/configuration/reader_ranking.hpp> // readers_for_rank

#include <algorithm> // min
#include <cmath>     // ceil, sqrt

namespace parsleyshift
{

std::size_t follower_count(std::size_t instances, const reader_ranking_settings& settings)
{
    if (instances <= settings.max_followers + 1)
    {
        return settings.max_followers;
    }
    return static_cast<std::size_t>(std::ceil(std::sqrt(static_cast<double>(instances))));
}

source_readers readers_for_rank(const std::vector<source_peer>& ranking, std::size_t own_rank,
                                const reader_ranking_settings& settings)
{
    source_readers readers;
    const std::size_t reader_count = std::min(settings.max_readers, ranking.size());
    const std::size_t parent = own_rank == 0 ? 0 : (own_rank - 1) / follower_count(ranking.size(), settings);
    const bool has_parent = own_rank >= reader_count && own_rank < ranking.size();
    const auto add = [&](std::vector<source_peer>& to, std::size_t rank)
    {
        if (!ranking[rank].address.empty())
        {
            to.push_back(ranking[rank]);
        }
    };
    if (has_parent)
    {
        add(readers.preferred, parent);
    }
    for (std::size_t rank = 0; rank < reader_count; ++rank)
    {
        const bool is_listed = rank == own_rank || (has_parent && rank == parent);
        if (!is_listed)
        {
            add(rank < own_rank ? readers.preferred : readers.others, rank);
        }
    }
    return readers;
}

} // namespace parsleyshift
