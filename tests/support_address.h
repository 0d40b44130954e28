/* Free addresses on the loopback interface. */
#ifndef SUPPORT_ADDRESS_H
#define SUPPORT_ADDRESS_H

char *free_address(void);

#endif
