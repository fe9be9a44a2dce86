#include <parsleyshift/configuration/source_relay.hpp> // source_relay

#include <utility> // exchange, move

namespace parsleyshift
{

std::optional<source_pull> source_relay::next_pull(const std::optional<source_peer>& reader, time_point now)
{
    if (!reader || !watch_.listed() || now < direct_until_)
    {
        return std::nullopt;
    }
    sent_ = sent_pull{reader->instance, ++pulls_, now};
    return source_pull{pulls_, watch_.as_of()};
}

source_relay::reception source_relay::take(const instance_id& from, const source_answer& answer, time_point now)
{
    if (!sent_ || from != sent_->to || answer.number != sent_->number)
    {
        return reception::ignored;
    }
    const time_point asked_at = sent_->at;
    sent_.reset();
    if (!answer.available || answer.as_of < watch_.as_of() || answer.age < duration{})
    {
        go_direct(now);
        return reception::refused;
    }
    watch_.take_relayed(answer, asked_at);
    in_haste_ = false;
    source_lost_ = false;
    return reception::accepted;
}

bool source_relay::unanswered(std::uint64_t number, time_point now)
{
    if (!sent_ || sent_->number != number)
    {
        return false;
    }
    sent_.reset();
    go_direct(now);
    return true;
}

void source_relay::go_direct(time_point now)
{
    direct_until_ = now + settings_.direct_for;
    in_haste_ = true;
}

void source_relay::read_directly(bool successful)
{
    in_haste_ = false;
    source_lost_ = !successful;
    if (!successful)
    {
        direct_until_ = time_point{};
    }
}

std::optional<source_answer> source_relay::asked(const source_peer& from, const source_pull& pull, time_point now)
{
    std::erase_if(waiting_, [&from](const waiting_pull& known) { return known.from.instance == from.instance; });
    const bool can_tell_later = watch_.listed() && !source_lost_ && pull.known >= watch_.as_of();
    if (can_tell_later)
    {
        waiting_.push_back({from, pull});
        return std::nullopt;
    }
    source_answer answer = watch_.changes_since(pull.known, now);
    answer.number = pull.number;
    answer.available = answer.available && !source_lost_;
    return answer;
}

std::vector<addressed_answer> source_relay::due(bool successful, time_point now)
{
    std::vector<addressed_answer> answers;
    for (waiting_pull& each : std::exchange(waiting_, {}))
    {
        source_answer answer = watch_.changes_since(each.pull.known, now);
        answer.number = each.pull.number;
        answer.available = answer.available && successful;
        answers.push_back({std::move(each.from), std::move(answer)});
    }
    return answers;
}

} // namespace parsleyshift
