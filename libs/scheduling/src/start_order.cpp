#include <parsleyshift/scheduling/start_order.hpp> // start_order

#include <algorithm> // clamp, max, min, sort
#include <utility>   // move

namespace parsleyshift
{

namespace
{

// A weight of 0 would exclude a customer for as long as any other has queued requests.
constexpr double min_weight = 1e-3;

} // namespace

double start_order::share_of(const customer_state& customer) const
{
    return rule_ == start_rule::share ? customer.held / customer.weight : 0.0;
}

void start_order::add_ranks(const customer_state& customer)
{
    for (const auto& [group, queued] : customer.queued)
    {
        ranks_[group].insert(rank{share_of(customer), *queued.begin()});
    }
}

void start_order::remove_ranks(const customer_state& customer)
{
    for (const auto& [group, queued] : customer.queued)
    {
        const auto found = ranks_.find(group);
        found->second.erase(rank{share_of(customer), *queued.begin()});
        if (found->second.empty())
        {
            ranks_.erase(found);
        }
    }
}

void start_order::push(const queued_request& request)
{
    if (request.work.timely_start == never)
    {
        without_objective_.push(request);
        return;
    }
    entries_.emplace(request.sequence, entry{request, false});
    if (request.late)
    {
        push_late(request.sequence);
        return;
    }
    customer_state& customer = customers_[request.work.customer];
    remove_ranks(customer);
    customer.weight = std::max(request.weight, min_weight);
    customer.queued_cost += request.cost;
    customer.queued[request.group].insert(deadline_of(request));
    add_ranks(customer);
    timely_.insert(deadline_of(request));
    timely_cost_ += request.cost;
}

void start_order::push_late(std::uint64_t sequence)
{
    entry& late = entries_.at(sequence);
    late.late = true;
    late_[late.request.group].insert(sequence);
    late_cost_ += late.request.cost;
}

void start_order::remove_timely(const queued_request& request)
{
    customer_state& customer = customers_.at(request.work.customer);
    remove_ranks(customer);
    const auto group = customer.queued.find(request.group);
    group->second.erase(deadline_of(request));
    if (group->second.empty())
    {
        customer.queued.erase(group);
    }
    // Sums of floating-point numbers are set to 0 when nothing is left, so that errors do not accumulate.
    customer.queued_cost = customer.queued.empty() ? 0.0 : customer.queued_cost - request.cost;
    add_ranks(customer);
    timely_.erase(deadline_of(request));
    timely_cost_ = timely_.empty() ? 0.0 : timely_cost_ - request.cost;
    erase_if_idle(request.work.customer);
}

void start_order::erase_if_idle(const customer_id& customer)
{
    const auto found = customers_.find(customer);
    if (found != customers_.end() && found->second.queued.empty() && found->second.held <= 0.0)
    {
        customers_.erase(found);
    }
}

std::optional<queued_request> start_order::take(std::uint64_t sequence)
{
    const auto found = entries_.find(sequence);
    if (found == entries_.end())
    {
        return without_objective_.take(sequence);
    }
    entry taken = std::move(found->second);
    entries_.erase(found);
    if (!taken.late)
    {
        remove_timely(taken.request);
        return std::move(taken.request);
    }
    const auto group = late_.find(taken.request.group);
    group->second.erase(sequence);
    if (group->second.empty())
    {
        late_.erase(group);
    }
    late_cost_ = late_.empty() ? 0.0 : late_cost_ - taken.request.cost;
    return std::move(taken.request);
}

void start_order::hold(const customer_id& customer, double cost)
{
    customer_state& changed = customers_[customer];
    remove_ranks(changed);
    changed.held = std::max(changed.held + cost, 0.0);
    add_ranks(changed);
    erase_if_idle(customer);
}

std::vector<std::uint64_t> start_order::advance(time_point now)
{
    std::vector<std::uint64_t> late;
    while (!timely_.empty() && timely_.begin()->time < now)
    {
        const std::uint64_t sequence = timely_.begin()->sequence;
        remove_timely(entries_.at(sequence).request);
        push_late(sequence);
        late.push_back(sequence);
    }
    return late;
}

const queued_request* start_order::find(std::uint64_t sequence) const
{
    const auto found = entries_.find(sequence);
    return found == entries_.end() ? nullptr : &found->second.request;
}

bool start_order::is_late(std::uint64_t sequence) const
{
    const auto found = entries_.find(sequence);
    return found != entries_.end() && found->second.late;
}

const queued_request* start_order::request_of(std::uint64_t sequence) const
{
    return &entries_.at(sequence).request;
}

const queued_request* start_order::first_timely() const
{
    const rank* first = nullptr;
    for (const auto& [group, ranks] : ranks_)
    {
        first = first == nullptr || *ranks.begin() < *first ? &*ranks.begin() : first;
    }
    return first == nullptr ? nullptr : request_of(first->first.sequence);
}

const queued_request* start_order::first_late() const
{
    std::optional<std::uint64_t> first;
    for (const auto& [group, sequences] : late_)
    {
        first = std::min(first.value_or(*sequences.begin()), *sequences.begin());
    }
    return first ? request_of(*first) : nullptr;
}

const queued_request* start_order::front() const
{
    const queued_request* timely = first_timely();
    const queued_request* other = without_objective_.front();
    if (timely != nullptr && other != nullptr)
    {
        return timely->sequence < other->sequence ? timely : other;
    }
    if (timely != nullptr || other != nullptr)
    {
        return timely != nullptr ? timely : other;
    }
    return first_late();
}

const queued_request* start_order::back() const
{
    if (!late_.empty())
    {
        std::uint64_t last = 0;
        for (const auto& [group, sequences] : late_)
        {
            last = std::max(last, *sequences.rbegin());
        }
        return request_of(last);
    }
    if (timely_.empty() || (without_objective_.back() != nullptr && without_objective_.size() > timely_.size()))
    {
        return without_objective_.back();
    }
    // The latest request of the customer that holds and asks for the most.
    const customer_state* largest = nullptr;
    const auto claim = [](const customer_state& customer)
    {
        return (customer.held + customer.queued_cost) / customer.weight;
    };
    for (const auto& [id, customer] : customers_)
    {
        const bool more = !customer.queued.empty() && (largest == nullptr || claim(customer) > claim(*largest));
        largest = more ? &customer : largest;
    }
    if (largest == nullptr)
    {
        return without_objective_.back();
    }
    deadline last{time_point::min(), 0};
    for (const auto& [group, queued] : largest->queued)
    {
        last = std::max(last, *queued.rbegin());
    }
    return request_of(last.sequence);
}

void start_order::fronts(std::vector<const queued_request*>& out) const
{
    std::vector<const rank*> ranked;
    for (const auto& [group, ranks] : ranks_)
    {
        ranked.push_back(&*ranks.begin());
    }
    std::sort(ranked.begin(), ranked.end(), [](const rank* left, const rank* right) { return *left < *right; });
    std::vector<const queued_request*> others;
    without_objective_.fronts(others);
    auto next_timely = ranked.begin();
    auto next_other = others.begin();
    while (next_timely != ranked.end() || next_other != others.end())
    {
        const bool timely_first =
            next_other == others.end() ||
            (next_timely != ranked.end() && (*next_timely)->first.sequence < (*next_other)->sequence);
        out.push_back(timely_first ? request_of((*next_timely++)->first.sequence) : *next_other++);
    }
    std::vector<std::uint64_t> late;
    for (const auto& [group, sequences] : late_)
    {
        late.push_back(*sequences.begin());
    }
    std::sort(late.begin(), late.end());
    for (const std::uint64_t sequence : late)
    {
        out.push_back(request_of(sequence));
    }
}

double start_order::cost_ahead(const queued_request& request) const
{
    if (request.work.timely_start == never)
    {
        return timely_cost_ + without_objective_.cost_ahead(request);
    }
    if (rule_ == start_rule::deadline)
    {
        return timely_cost_;
    }
    const auto found = customers_.find(request.work.customer);
    const double held = found == customers_.end() ? 0.0 : found->second.held;
    const double own = found == customers_.end() ? 0.0 : found->second.queued_cost;
    // The other customers start requests until their holdings, for their weight, reach what this customer holds when
    // the request starts.
    const double level = (held + own) / std::max(request.weight, min_weight);
    double ahead = own;
    for (const auto& [id, customer] : customers_)
    {
        if (id != request.work.customer && customer.queued_cost > 0.0)
        {
            ahead += std::clamp(level * customer.weight - customer.held, 0.0, customer.queued_cost);
        }
    }
    return ahead;
}

} // namespace parsleyshift
