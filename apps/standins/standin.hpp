#pragma once

#include <cxxopts.hpp> // Options

namespace parsleyshift::standins
{

/// @brief One stand-in of the program. @return exit code
int run_engine(int argc, char** argv);
int run_plain(int argc, char** argv);
int run_configuration(int argc, char** argv);
int run_list(int argc, char** argv);
int run_store(int argc, char** argv);
int run_publish(int argc, char** argv);
int run_ports(int argc, char** argv);
int run_request(int argc, char** argv);

} // namespace parsleyshift::standins
