#pragma once

#include <parsleyshift/configuration/record_acceptor.hpp> // acceptance
#include <parsleyshift/core/ids.hpp>                      // revision
#include <parsleyshift/messages/peer.hpp>                 // shared_record, configuration_buckets

#include <array>   // array
#include <compare> // strong_ordering
#include <cstddef> // size_t
#include <cstdint> // uint64_t
#include <map>     // map
#include <memory>  // shared_ptr
#include <set>     // set
#include <string>  // string
#include <vector>  // vector

namespace parsleyshift
{

/// @brief Identifies a record by kind and name.
struct record_key
{
    std::string kind;
    std::string name;

    friend auto operator<=>(const record_key&, const record_key&) = default;
};

/// @brief One version of a record, or "no version" when `record` is null.
struct record_version
{
    std::shared_ptr<const raw_record> record;
    /// Hash of the schema version, the withdrawal flag and the body. Orders two versions with the same revision, which
    /// a faulty service could return.
    std::uint64_t content = 0;

    [[nodiscard]] revision changed() const
    {
        return record ? record->changed : revision{};
    }
    /// @brief Orders the versions of one record by revision, then by content hash; "no version" comes first.
    friend std::strong_ordering operator<=>(const record_version& first, const record_version& second);
    friend bool operator==(const record_version& first, const record_version& second)
    {
        return (first <=> second) == std::strong_ordering::equal;
    }
};

/// @brief State of one record in a store.
///
/// `active` and `newest` are replicated: each is the maximum over the versions received from any instance, so merging
/// is commutative and idempotent. The other fields are local to this instance.
struct record_entry
{
    /// Highest version that any instance has activated; possibly unreadable here.
    record_version active;
    /// Highest version that any instance has accepted; newer than `active` while some instance cannot read it.
    record_version newest;
    /// Highest version that is unreadable here and not marked as accepted by any instance.
    record_version unchecked;
    /// Version in force here: the highest active version that this process can read.
    record_version in_force;
    /// Highest version that was rejected here.
    record_version rejected;
};

/// @brief Effect of merging one version.
struct merge_result
{
    /// The state that is sent to peers changed.
    bool changed = false;
    /// The version came into force here.
    bool in_force = false;
    /// The version became active on another instance and is unreadable here.
    bool unreadable = false;
};

/// @brief Position at which `record_table::read` continues in a bucket.
struct bucket_cursor
{
    record_key key;
    /// Number of versions of this record already read.
    std::size_t versions = 0;
    /// The end of the bucket has been reached.
    bool complete = false;
};

/// @brief Accepted records in buckets, merged as a join semilattice, with a hash for each bucket.
class record_table
{
  public:
    using bucket_hashes = std::array<std::uint64_t, configuration_buckets>;

    /// @brief Copies a record and hashes its content.
    [[nodiscard]] static record_version version_of(const raw_record& record);
    /// @brief Finds the entry of a record, or returns nullptr. Logarithmic in the bucket size.
    [[nodiscard]] const record_entry* find(const record_key& key) const;
    /// @brief True when merging the version could change nothing. Logarithmic in the bucket size.
    /// @param active whether the version is active on any instance
    [[nodiscard]] bool is_redundant(const record_key& key, const record_version& version, bool active) const;
    /// @brief Merges a version that is not rejected. Logarithmic in the bucket size.
    /// @param shared the record with the flags that peers have set
    /// @param check_result result of the acceptor in this process: `accepted` or `unreadable`
    merge_result merge(const shared_record& shared, acceptance check_result);
    /// @brief Records that a version was rejected.
    /// @return false when this or a higher version had been rejected before
    bool reject(const record_key& key, const record_version& version);
    /// @brief Activates the accepted versions whose schema version is at most `lowest_schema`. Linear in the records
    /// pending activation.
    /// @param lowest_schema lowest schema version supported by all live instances
    /// @return the activated records
    std::vector<shared_record> activate(int lowest_schema);
    /// @brief Appends the versions newer than `after` from `cursor` on, up to `max_bytes` in total; a larger record
    /// is appended only when `records` is empty. Linear in the bucket size.
    /// @param cursor where to start; updated to where the next call continues
    /// @param bytes estimated size of `records`; updated
    void read(std::size_t bucket, revision after, std::size_t max_bytes, bucket_cursor& cursor,
              std::vector<shared_record>& records, std::size_t& bytes) const;

    /// @brief The hash of each bucket, over the active and newest versions of its records.
    [[nodiscard]] const bucket_hashes& hashes() const;

  private:
    static std::size_t bucket_of(const record_key& key);
    static std::uint64_t hash_of(const record_key& key, const record_entry& entry);
    record_entry& entry_of(const record_key& key);

    std::array<std::map<record_key, record_entry>, configuration_buckets> buckets_;
    bucket_hashes hashes_{};
    /// Records whose newest version is not active yet.
    std::set<record_key> pending_activation_;
};

/// @brief Estimated encoded size of a record in bytes.
std::size_t estimated_bytes(const raw_record& record);

} // namespace parsleyshift
