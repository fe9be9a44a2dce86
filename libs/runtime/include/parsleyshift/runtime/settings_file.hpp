#pragma once

#include <parsleyshift/core/error.hpp> // result

#include <cstdint> // int64_t
#include <string>  // string

namespace parsleyshift
{

/// @brief Reads a settings file and detects that it has changed since.
class settings_file
{
  public:
    explicit settings_file(std::string path);

    /// @brief Reads the whole file.
    /// @return error file_unreadable when it cannot be opened or read
    result<std::string> read();
    /// @brief Returns true when the modification time or size differs from the last successful read(). One system call.
    /// False while the file cannot be accessed.
    [[nodiscard]] bool changed() const;

  private:
    /// Modification time and size.
    struct file_stamp
    {
        std::int64_t seconds = 0;
        std::int64_t nanoseconds = 0;
        std::int64_t size = 0;

        friend bool operator==(const file_stamp&, const file_stamp&) = default;
    };
    [[nodiscard]] file_stamp read_stamp() const;

    std::string path_;
    /// Stamp of the last successful read().
    file_stamp last_read_;
};

} // namespace parsleyshift
