#!/bin/sh
# Teams of Tuul Timber Assurance: three large ones and five small ones.
# Rates and bursts are summed over the whole fleet.
set -eu
bluebellswitch team set inspectorate --rate 300/s --burst 600 --weight 4
bluebellswitch team set export-office --rate 300/s --burst 600 --weight 4
bluebellswitch team set selenge-mills --rate 200/s --burst 400 --weight 4
bluebellswitch team set darkhan-plant --rate 60/s --burst 120
bluebellswitch team set erdenet-yard --rate 60/s --burst 120
bluebellswitch team set khentii-yard --rate 40/s --burst 80
bluebellswitch team set zuunmod-kilns --rate 40/s --burst 80
bluebellswitch team set steppe-exports --rate 40/s --burst 80
