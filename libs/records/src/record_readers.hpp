#pragma once

#include <parsleyshift/records/json_reader.hpp> // json_reader
#include <parsleyshift/records/record.hpp>      // customer_record, fleet_record, model_record, priority_record

namespace parsleyshift::detail
{

/// @brief JSON readers of one record type. reader_for() returns the reader of a schema version, 1 to
/// latest_record_schema. The caller checks the range; any other number returns the reader of version 2.
template <class Record>
struct record_readers;

template <>
struct record_readers<service_record>
{
    static const json_reader<service_record>& reader_for(int schema_version);
};

template <>
struct record_readers<customer_record>
{
    static const json_reader<customer_record>& reader_for(int schema_version);
};

template <>
struct record_readers<model_record>
{
    static const json_reader<model_record>& reader_for(int schema_version);
};

template <>
struct record_readers<priority_record>
{
    static const json_reader<priority_record>& reader_for(int schema_version);
};

template <>
struct record_readers<fleet_record>
{
    static const json_reader<fleet_record>& reader_for(int schema_version);
};

} // namespace parsleyshift::detail
