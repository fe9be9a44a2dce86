#pragma once

#include <parsleyshift/core/error.hpp> // result

#include <cstdint> // int64_t
#include <string>  // string

namespace parsleyshift
{

/// @brief A settings file that may change while the process runs.
class settings_file
{
  public:
    explicit settings_file(std::string path);

    /// @brief The file's text. @return error file_unreadable
    result<std::string> read();
    /// @brief True when the file differs in time or size from what was read last. One system call.
    [[nodiscard]] bool changed() const;

  private:
    struct mark
    {
        std::int64_t seconds = 0;
        std::int64_t nanoseconds = 0;
        std::int64_t size = 0;

        friend bool operator==(const mark&, const mark&) = default;
    };
    [[nodiscard]] mark look() const;

    std::string path_;
    mark last_;
};

} // namespace parsleyshift
