/* Free addresses on the loopback interface. */
#ifndef SUPPORT_ADDRESS_H
#define SUPPORT_ADDRESS_H

char *unused_address(void);

#endif
