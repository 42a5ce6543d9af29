#include "fleet_process.h"
#include "program_arguments.h"
#include "program_settings.h"

int main(int argc, char** argv)
{
    return cyclamen::run_daemon(
        argc, argv, "Runs beside one backend server and decides which requests it executes.",
        cyclamen::agent_schema(), cyclamen::serve_agent);
}
