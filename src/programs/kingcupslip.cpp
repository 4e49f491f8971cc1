// The operators' program: contracts, keys, out-of-service marks, status,
// report and explanations.
#include "kingcupslip/cli/admin_client.hpp"
#include "kingcupslip/cli/admin_tables.hpp"
#include "kingcupslip/cli/explain.hpp"
#include "kingcupslip/cli/yaml_to_json.hpp"
#include "kingcupslip/version.hpp"

#include <CLI/CLI.hpp>
#include <cpprest/uri_builder.h>
#include <nlohmann/json.hpp>

#include <cstdlib>
#include <fstream>
#include <functional>
#include <iostream>
#include <optional>
#include <random>
#include <sstream>
#include <string>
#include <vector>

namespace {

using namespace kingcupslip;

/// Exit codes; documented for operators.
enum class exit_code : int {
  success = 0,
  refused = 1,
  bad_input = 2,
  conflict = 3,
  unavailable = 4
};

/// Renders the JSON body of a response as a table.
using table_renderer = std::function<std::string(const std::string&)>;

/// The options of the command line, and the actions of the commands.
struct operator_cli {
  std::string url = "http://127.0.0.1:7090";
  std::string token;
  std::string output = "table";
  std::string operation;
  std::string if_match;
  std::string file;
  std::string name;
  std::string team;
  std::string host;
  std::vector<std::string> log_files;
  exit_code code = exit_code::success;

  admin_client client() const { return {url, token}; }

  void print_response(const admin_reply& r, const table_renderer& as_table) {
    if (r.status == 0) {
      std::cerr << "no response from " << url << ": " << r.body
                << "\nto repeat a change safely: --operation " << operation
                << "\n";
      code = exit_code::unavailable;
      return;
    }
    const bool is_success = r.status < 300;
    const bool json = output == "json";
    (is_success ? std::cout : std::cerr)
        << (json ? r.body + "\n"
                 : (is_success ? as_table(r.body) : fields_as_table(r.body)));
    if (!is_success) {
      code = r.status == 409   ? exit_code::conflict
             : r.status == 503 ? exit_code::unavailable
             : r.status == 400 ? exit_code::bad_input
                               : exit_code::refused;
    }
  }

  void get(const std::string& path, const table_renderer& as_table) {
    print_response(client().call("GET", path), as_table);
  }

  void send_change(const std::string& method, const std::string& path,
                   const std::string& body = "") {
    print_response(client().call(method, path, body, operation, if_match),
                   fields_as_table);
  }

  void preview_route() {
    web::uri_builder query("/route");
    query.append_query("host", host);
    query.append_query("path", name);
    if (!team.empty()) {
      query.append_query("team", team);
    }
    get(query.to_string(), route_as_table);
  }

  void explain_request() {
    request_explainer e(name);
    for (const std::string& it : log_files) {
      std::ifstream in(it);
      if (!in) {
        std::cerr << it << ": cannot be read\n";
        code = exit_code::bad_input;
        return;
      }
      e.read(in);
    }
    if (log_files.empty()) {
      e.read(std::cin);
    }
    if (!e.found()) {
      std::cerr << e.cause() << "\n";
      code = exit_code::refused;
      return;
    }
    std::cout << (output == "json" ? e.as_json() + "\n" : e.as_text());
  }

  void apply_contract() {
    std::ifstream in(file);
    std::ostringstream text;
    text << in.rdbuf();
    std::string yaml_error;
    const std::optional<std::string> json =
        yaml_to_json(text.str(), yaml_error);
    const nlohmann::json parsed =
        json ? nlohmann::json::parse(*json) : nlohmann::json();
    if (!in || !parsed.is_object() || !parsed.contains("team") ||
        !parsed["team"].is_string()) {
      std::cerr << file << ": not a contract " << yaml_error << "\n";
      code = exit_code::bad_input;
      return;
    }
    send_change("PUT", "/v1/contracts/" + parsed["team"].get<std::string>(),
                *json);
  }
};

std::string random_operation_id() {
  std::random_device source;
  std::ostringstream out;
  out << std::hex << source() << source() << source();
  return out.str();
}

CLI::App* add_command(CLI::App& parent, const std::string& name,
                      const std::string& description,
                      const std::string& example,
                      std::function<void()> action) {
  CLI::App* out = parent.add_subcommand(name, description);
  out->footer("Example: " + example);
  if (action) {
    out->callback(std::move(action));
  }
  return out;
}

void add_contract_commands(CLI::App& app, operator_cli& p) {
  CLI::App* group = add_command(app, "contract", "manage teams' contracts",
                                "kingcupslip contract list", nullptr);
  group->require_subcommand(1);
  CLI::App* apply = add_command(
      *group, "apply", "write a team's contract from a YAML file",
      "kingcupslip contract apply team-a.yaml", [&p] { p.apply_contract(); });
  apply->add_option("FILE", p.file, "the contract")->required();
  apply->add_option("--if-sequence", p.if_match,
                    "write only if the contract still has this sequence; "
                    "0: only if there is none");
  add_command(*group, "list", "all contracts", "kingcupslip contract list",
              [&p] { p.get("/v1/contracts", contracts_as_table); });
  add_command(*group, "get", "one contract with its sequence",
              "kingcupslip contract get team-a --output json",
              [&p] { p.get("/v1/contracts/" + p.name, fields_as_table); })
      ->add_option("TEAM", p.name)
      ->required();
}

void add_key_commands(CLI::App& app, operator_cli& p) {
  CLI::App* group = add_command(app, "key", "manage teams' keys",
                                "kingcupslip key list", nullptr);
  group->require_subcommand(1);
  add_command(*group, "issue", "issue a key; its secret is shown only once",
              "kingcupslip key issue team-a",
              [&p] {
                p.send_change("POST", "/v1/keys",
                              nlohmann::json{{"team", p.name}}.dump());
              })
      ->add_option("TEAM", p.name)
      ->required();
  add_command(*group, "withdraw", "withdraw a key permanently",
              "kingcupslip key withdraw k0123456789ab",
              [&p] { p.send_change("DELETE", "/v1/keys/" + p.name); })
      ->add_option("ID", p.name)
      ->required();
  add_command(*group, "list", "all keys", "kingcupslip key list",
              [&p] { p.get("/v1/keys", keys_as_table); });
}

void add_out_mark_commands(CLI::App& app, operator_cli& p,
                           const std::string& kind) {
  CLI::App* group =
      add_command(app, kind, "take a " + kind + " out of service or back",
                  "kingcupslip " + kind + " list", nullptr);
  group->require_subcommand(1);
  const std::string path = "/v1/out/" + kind;
  add_command(*group, "take-out", "send it no new requests",
              "kingcupslip " + kind + " take-out NAME",
              [&p, path] { p.send_change("PUT", path + "/" + p.name); })
      ->add_option("NAME", p.name)
      ->required();
  add_command(*group, "return", "send it requests again, few at first",
              "kingcupslip " + kind + " return NAME",
              [&p, path] { p.send_change("DELETE", path + "/" + p.name); })
      ->add_option("NAME", p.name)
      ->required();
  add_command(*group, "list", "list what is out of service",
              "kingcupslip " + kind + " list",
              [&p, path] { p.get(path, fields_as_table); });
}

} // namespace

int main(int argc, char** argv) {
  CLI::App app{"Operates a kingcupslip fleet through any of its nodes"};
  operator_cli p;
  p.operation = random_operation_id();
  app.set_version_flag("--version",
                       "kingcupslip " + std::string(kingcupslip::version));
  app.add_option("--url", p.url, "administration address of any node")
      ->envname("KINGCUPSLIP_ADMIN_URL");
  app.add_option("--token", p.token, "operators' token")
      ->envname("KINGCUPSLIP_OPERATOR_TOKEN");
  app.add_option("--output", p.output, "output format")
      ->check(CLI::IsMember({"table", "json"}));
  app.add_option("--operation", p.operation,
                 "id of the change, to repeat one whose outcome is unknown");
  app.require_subcommand(1);
  app.fallthrough();
  app.footer("Exit codes: 0 done, 1 refused, 2 bad input, 3 conflict, "
             "4 no response or outcome unknown");
  add_contract_commands(app, p);
  add_key_commands(app, p);
  add_out_mark_commands(app, p, "data-centre");
  add_out_mark_commands(app, p, "target");
  CLI::App* explain = add_command(
      app, "explain", "explain the end of a request from the nodes' log lines",
      "kingcupslip explain 488ea967015bde01 node-*.log",
      [&p] { p.explain_request(); });
  explain->add_option("ID", p.name, "the request's id")->required();
  explain->add_option("FILE", p.log_files, "logs; standard input if none");
  CLI::App* route = add_command(
      app, "route",
      "where a request would go now, and why, without sending it; --url is the "
      "metrics address of the node that it would enter through",
      "kingcupslip --url http://10.0.0.7:7015 route --team team-a "
      "--host shop.example /orders/7",
      [&p] { p.preview_route(); });
  route->add_option("PATH", p.name, "the request's path")->required();
  route->add_option("--host", p.host, "its host")->required();
  route->add_option("--team", p.team, "its team; none without a key");
  add_command(
      app, "status", "members with their state and configuration sequence",
      "kingcupslip status", [&p] { p.get("/v1/status", status_as_table); });
  add_command(app, "report", "the closing report over the whole fleet",
              "kingcupslip report --output json",
              [&p] { p.get("/v1/report", report_as_table); });
  CLI11_PARSE(app, argc, argv);
  return static_cast<int>(p.code);
}
