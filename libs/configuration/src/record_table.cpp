#include <parsleyshift/configuration/record_table.hpp>

#include <parsleyshift/core/hash.hpp> // stable_hash, mix_hash

#include <algorithm> // max
#include <utility>   // move

namespace parsleyshift
{

namespace
{

/// @brief The versions of one record that are sent to peers, at most three.
std::vector<shared_record> shared_versions(const record_entry& entry)
{
    std::vector<shared_record> versions;
    if (entry.active.record)
    {
        versions.push_back({*entry.active.record, true, true});
    }
    if (entry.newest > entry.active)
    {
        versions.push_back({*entry.newest.record, false, true});
    }
    if (entry.unchecked > entry.newest)
    {
        versions.push_back({*entry.unchecked.record, false, false});
    }
    return versions;
}

} // namespace

std::strong_ordering operator<=>(const record_version& first, const record_version& second)
{
    if (!first.record || !second.record)
    {
        return static_cast<bool>(first.record) <=> static_cast<bool>(second.record);
    }
    if (const auto order = first.changed() <=> second.changed(); order != std::strong_ordering::equal)
    {
        return order;
    }
    return first.content <=> second.content;
}

record_version record_table::version_of(const raw_record& record)
{
    const std::uint64_t flags = static_cast<std::uint64_t>(record.schema) * 2 + (record.withdrawn ? 1 : 0);
    return {std::make_shared<const raw_record>(record), mix_hash(stable_hash(record.body), flags)};
}

const record_entry* record_table::find(const record_key& key) const
{
    const auto& bucket = buckets_.at(bucket_of(key));
    const auto found = bucket.find(key);
    return found == bucket.end() ? nullptr : &found->second;
}

bool record_table::is_redundant(const record_key& key, const record_version& version, bool active) const
{
    const record_entry* entry = find(key);
    if (entry == nullptr)
    {
        return false;
    }
    return version <= entry->active || version == entry->rejected || (!active && version <= entry->newest);
}

merge_result record_table::merge(const shared_record& shared, acceptance check_result)
{
    const record_key key{shared.record.kind, shared.record.name};
    const record_version version = version_of(shared.record);
    const std::size_t bucket = bucket_of(key);
    record_entry& entry = entry_of(key);
    merge_result result;
    if (check_result == acceptance::unreadable && !shared.accepted)
    {
        result.changed = version > entry.unchecked && version > entry.newest;
        if (result.changed)
        {
            entry.unchecked = version;
        }
        return result;
    }
    const std::uint64_t old_hash = hash_of(key, entry);
    const bool active = shared.active || shared.record.withdrawn;
    entry.newest = std::max(entry.newest, version);
    if (active && version > entry.active)
    {
        entry.active = version;
        result.unreadable = check_result == acceptance::unreadable;
    }
    if (active && check_result == acceptance::accepted && version > entry.in_force)
    {
        entry.in_force = version;
        result.in_force = true;
    }
    if (entry.unchecked <= entry.newest)
    {
        entry.unchecked = {};
    }
    const std::uint64_t hash = hash_of(key, entry);
    hashes_.at(bucket) ^= old_hash ^ hash;
    result.changed = hash != old_hash;
    if (entry.newest > entry.active)
    {
        pending_activation_.insert(key);
    }
    else
    {
        pending_activation_.erase(key);
    }
    return result;
}

bool record_table::reject(const record_key& key, const record_version& version)
{
    record_entry& entry = entry_of(key);
    if (version <= entry.rejected)
    {
        return false;
    }
    entry.rejected = version;
    return true;
}

std::vector<shared_record> record_table::activate(int lowest_schema)
{
    std::vector<shared_record> activated;
    for (const record_key& key : pending_activation_)
    {
        const record_version& newest = find(key)->newest;
        if (newest.record->schema <= lowest_schema)
        {
            activated.push_back({*newest.record, true, true});
        }
    }
    for (const shared_record& record : activated)
    {
        merge(record, acceptance::accepted);
    }
    return activated;
}

void record_table::read(std::size_t bucket, revision after, std::size_t max_bytes, bucket_cursor& cursor,
                        std::vector<shared_record>& records, std::size_t& bytes) const
{
    const auto& entries = buckets_.at(bucket);
    for (auto entry = entries.lower_bound(cursor.key); entry != entries.end(); ++entry)
    {
        if (entry->first != cursor.key)
        {
            cursor = {entry->first, 0, false};
        }
        const std::vector<shared_record> versions = shared_versions(entry->second);
        for (; cursor.versions < versions.size(); ++cursor.versions)
        {
            const shared_record& version = versions[cursor.versions];
            if (version.record.changed <= after)
            {
                continue;
            }
            const std::size_t size = estimated_bytes(version.record);
            if (!records.empty() && bytes + size > max_bytes)
            {
                return;
            }
            records.push_back(version);
            bytes += size;
        }
    }
    cursor.complete = true;
}

const record_table::bucket_hashes& record_table::hashes() const
{
    return hashes_;
}

std::size_t record_table::bucket_of(const record_key& key)
{
    return mix_hash(stable_hash(key.kind), stable_hash(key.name)) % configuration_buckets;
}

std::uint64_t record_table::hash_of(const record_key& key, const record_entry& entry)
{
    if (!entry.newest.record)
    {
        return 0;
    }
    const std::uint64_t name = mix_hash(stable_hash(key.kind), stable_hash(key.name));
    const std::uint64_t active = mix_hash(entry.active.changed().value(), entry.active.content);
    const std::uint64_t newest = mix_hash(entry.newest.changed().value(), entry.newest.content);
    return mix_hash(name, mix_hash(active, newest));
}

record_entry& record_table::entry_of(const record_key& key)
{
    return buckets_.at(bucket_of(key))[key];
}

std::size_t estimated_bytes(const raw_record& record)
{
    // Size of the field headers and numbers in Thrift's compact protocol.
    constexpr std::size_t overhead_bytes = 32;
    return overhead_bytes + record.kind.size() + record.name.size() + record.body.size();
}

} // namespace parsleyshift
