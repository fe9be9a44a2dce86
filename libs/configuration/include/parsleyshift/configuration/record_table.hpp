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

/// @brief Kind and name of a record.
struct record_key
{
    std::string kind;
    std::string name;

    friend auto operator<=>(const record_key&, const record_key&) = default;
};

/// @brief One version of a record; without a record: no version.
struct record_version
{
    std::shared_ptr<const raw_record> record;
    /// Hash of everything but the revision; decides between two versions of one revision, which a faulty service
    /// could hand out.
    std::uint64_t content = 0;

    [[nodiscard]] revision changed() const
    {
        return record ? record->changed : revision{};
    }
    /// @brief Order of the versions of one record; "no version" comes first.
    friend std::strong_ordering operator<=>(const record_version& first, const record_version& second);
    friend bool operator==(const record_version& first, const record_version& second)
    {
        return (first <=> second) == std::strong_ordering::equal;
    }
};

/// @brief What a store knows about one record.
///
/// `active` and `newest` are shared state: each is the maximum over what any instance has found, so that merging
/// commutes and repeats without effect. The other two are local.
struct record_entry
{
    /// Highest version that any instance has put in force; perhaps not readable here.
    record_version active;
    /// Highest accepted version; newer than `active` while some instance cannot read it.
    record_version newest;
    /// Highest version that is not readable here and that nobody is known to have accepted.
    record_version unchecked;
    /// Version in force here: the highest active one that is readable here.
    record_version in_force;
    /// Last version that was rejected here.
    record_version rejected;
};

/// @brief What merging a version did.
struct merge_result
{
    /// The state that is passed on to peers changed.
    bool changed = false;
    /// The version is newly in force here.
    bool in_force = false;
    /// The version is newly in force elsewhere and not readable here.
    bool unreadable = false;
};

/// @brief Where the reading of a bucket goes on.
struct bucket_position
{
    record_key key;
    /// Versions of this record already read.
    std::size_t versions = 0;
    bool complete = false;
};

/// @brief Accepted records in buckets, as a join semilattice with a hash for each bucket.
class record_table
{
  public:
    using bucket_hashes = std::array<std::uint64_t, configuration_buckets>;

    [[nodiscard]] static record_version version_of(const raw_record& record);
    /// @brief The entry of a record, or nullptr. Logarithmic in the bucket.
    [[nodiscard]] const record_entry* find(const record_key& key) const;
    /// @brief True when merging the version, in force or not, could change nothing. Logarithmic in the bucket.
    [[nodiscard]] bool knows(const record_key& key, const record_version& version, bool active) const;
    /// @brief Merges a version that was accepted or is unreadable here. Logarithmic in the bucket.
    /// @param shared the record with its flags
    /// @param judged accepted or unreadable, as this process finds it
    merge_result merge(const shared_record& shared, acceptance judged);
    /// @brief Remembers a rejected version. @return false when it was already known as rejected
    bool reject(const record_key& key, const record_version& version);
    /// @brief Activates the waiting versions up to a schema version. Linear in the waiting records.
    /// @return the records newly in force
    std::vector<shared_record> activate(int lowest_schema);
    /// @brief Appends versions that changed after a revision, until they are larger than `most_bytes` in total; a
    /// larger record goes alone. Linear in the bucket.
    void read(std::size_t bucket, revision after, std::size_t most_bytes, bucket_position& position,
              std::vector<shared_record>& records, std::size_t& bytes) const;

    [[nodiscard]] const bucket_hashes& hashes() const;

  private:
    static std::size_t bucket_of(const record_key& key);
    static std::uint64_t hash_of(const record_key& key, const record_entry& entry);
    record_entry& entry_of(const record_key& key);

    std::array<std::map<record_key, record_entry>, configuration_buckets> buckets_;
    bucket_hashes hashes_{};
    /// Records whose newest version is not in force.
    std::set<record_key> waiting_;
};

/// @brief Estimated encoded size of a record in bytes.
std::size_t estimated_bytes(const raw_record& record);

} // namespace parsleyshift
