#include <parsleyshift/configuration/pull_answers.hpp>

#include <algorithm> // min
#include <utility>   // move

namespace parsleyshift
{

pull_answers::pull_answers(configuration_settings settings) : settings_(settings) {}

void pull_answers::add(const peer_envelope& from, const configuration_pull& pull, time_point now)
{
    std::erase_if(answers_, [&](const answer& unfinished) { return unfinished.to == from.sender; });
    if (answers_.size() >= settings_.most_answers || pull.buckets.empty())
    {
        return;
    }
    answer added{from.sender, from.peer_address, pull.after, pull.highest, {}, 0, {}, false};
    for (const std::uint32_t bucket : pull.buckets)
    {
        if (bucket < configuration_buckets && added.buckets.size() < configuration_buckets)
        {
            added.buckets.push_back(bucket);
        }
    }
    if (answers_.empty())
    {
        next_send_ = now;
    }
    answers_.push_back(std::move(added));
}

void pull_answers::send(const record_table& table, time_point now, std::vector<send_to_peer>& messages)
{
    if (answers_.empty() || now < next_send_)
    {
        return;
    }
    next_send_ = now + settings_.answer_interval;
    for (answer& unfinished : answers_)
    {
        configuration_records part = next_part(table, unfinished);
        messages.push_back({unfinished.to, unfinished.address, std::move(part)});
    }
    std::erase_if(answers_, [](const answer& sent) { return sent.next_bucket == sent.buckets.size(); });
}

configuration_records pull_answers::next_part(const record_table& table, answer& unfinished) const
{
    configuration_records part;
    std::size_t bytes = 0;
    while (unfinished.next_bucket < unfinished.buckets.size())
    {
        const std::uint32_t bucket = unfinished.buckets[unfinished.next_bucket];
        table.read(bucket, unfinished.after, settings_.message_bytes, unfinished.position, part.records, bytes);
        if (!unfinished.position.complete)
        {
            break;
        }
        unfinished.position = {};
        ++unfinished.next_bucket;
    }
    part.answer = true;
    part.highest = unfinished.highest;
    part.after = unfinished.after;
    // One message that holds the whole answer; a receiver of parts cannot know whether one was lost.
    part.complete = !unfinished.begun && unfinished.next_bucket == unfinished.buckets.size();
    unfinished.begun = true;
    return part;
}

time_point pull_answers::next_deadline() const
{
    return answers_.empty() ? never : next_send_;
}

} // namespace parsleyshift
