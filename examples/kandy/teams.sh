#!/bin/sh
# Teams of the Kandy Fungi Trails Consortium. The three schools are rivals and
# have the same rate, burst and weight.
set -eu
bluebellswitch team set hantana-school --rate 400/s --burst 800 --weight 4
bluebellswitch team set knuckles-school --rate 400/s --burst 800 --weight 4
bluebellswitch team set udawatta-school --rate 400/s --burst 800 --weight 4
bluebellswitch team set trail-guides --rate 80/s --burst 160
bluebellswitch team set hotel-desk --rate 80/s --burst 160
bluebellswitch team set rail-tours --rate 60/s --burst 120
bluebellswitch team set herbarium --rate 60/s --burst 120
bluebellswitch team set weather-post --rate 40/s --burst 80
