// The node's program: reads the settings and runs the daemon.
#include "kingcupslip/daemon/daemon_common.hpp"
#include "kingcupslip/daemon/node_daemon.hpp"
#include "kingcupslip/daemon/settings.hpp"
#include "kingcupslip/version.hpp"

#include <CLI/CLI.hpp>
#include <pplx/threadpool.h>

#include <cstdlib>
#include <exception>
#include <iostream>
#include <optional>
#include <string>

namespace {

using namespace kingcupslip;

constexpr int exit_bad_settings = 2;
constexpr int exit_cannot_start = 3;

int run(const std::string& file, bool check_only) {
  const std::optional<std::string> text = read_file(file);
  if (!text) {
    std::cerr << file << ": cannot be read\n";
    return exit_bad_settings;
  }
  const settings_result settings = parse_settings(*text);
  if (!settings.has_value()) {
    std::cerr << to_text(settings.error(), file);
    return exit_bad_settings;
  }
  if (check_only) {
    std::cout << file << ": ok\n";
    return EXIT_SUCCESS;
  }
  crossplat::threadpool::initialize_with_threads(settings.value().pool_threads);
  try {
    node_daemon daemon(settings.value());
    daemon.run();
  } catch (const std::exception& e) {
    std::cerr << "kingcupslipd: " << e.what() << "\n";
    return exit_cannot_start;
  }
  return EXIT_SUCCESS;
}

} // namespace

int main(int argc, char** argv) {
  CLI::App app{"kingcupslip node; one runs beside each target"};
  app.set_version_flag("--version",
                       "kingcupslipd " + std::string(kingcupslip::version));
  std::string file;
  bool check_only = false;
  app.add_option("--config", file, "settings file (YAML)")->required();
  app.add_flag("--check-config", check_only,
               "check the settings, report every error and exit");
  app.footer("Example: kingcupslipd --config node.yaml");
  CLI11_PARSE(app, argc, argv);
  return run(file, check_only);
}
