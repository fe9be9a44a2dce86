#include <parsleyshift/configuration/pull_answers.hpp>

#include <algorithm> // min
#include <utility>   // move

namespace parsleyshift
{

pull_answers::pull_answers(configuration_settings settings) : settings_(settings) {}

void pull_answers::add(const peer_envelope& from, const configuration_pull& pull, time_point now)
{
    std::erase_if(answers_, [&](const answer& pending) { return pending.to == from.sender; });
    if (answers_.size() >= settings_.max_concurrent_answers || pull.buckets.empty())
    {
        return;
    }
    answer added{from.sender, from.peer_address, pull.after, pull.highest_revision, {}, 0, {}, false};
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
    for (answer& pending : answers_)
    {
        configuration_records part = next_part(table, pending);
        messages.push_back({pending.to, pending.address, std::move(part)});
    }
    std::erase_if(answers_, [](const answer& sent) { return sent.next_bucket == sent.buckets.size(); });
}

configuration_records pull_answers::next_part(const record_table& table, answer& pending) const
{
    configuration_records part;
    std::size_t bytes = 0;
    while (pending.next_bucket < pending.buckets.size())
    {
        const std::uint32_t bucket = pending.buckets[pending.next_bucket];
        table.read(bucket, pending.after, settings_.max_message_bytes, pending.cursor, part.records, bytes);
        if (!pending.cursor.complete)
        {
            break;
        }
        pending.cursor = {};
        ++pending.next_bucket;
    }
    part.answer = true;
    part.highest_revision = pending.highest;
    part.after = pending.after;
    // Set only when one message holds the whole answer: a receiver of several cannot detect the loss of one.
    part.complete = !pending.started && pending.next_bucket == pending.buckets.size();
    pending.started = true;
    return part;
}

time_point pull_answers::next_deadline() const
{
    return answers_.empty() ? never : next_send_;
}

} // namespace parsleyshift
